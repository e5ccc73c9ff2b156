/// The pages that an entry answers by itself: callers' choice of entry, health
/// and metrics.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Membership/EntryDirectory.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Gives the parts of pages that belong to the process.
class EntryPagesListener
{
public:
  virtual ~EntryPagesListener() = default;

  /// Whether this VM takes callers that it doesn't have yet.
  virtual bool IsLeaving() const = 0;

  /// The metrics page.
  virtual std::string RenderMetrics() = 0;
};

/// Settings of EntryPages.
struct EntryPagesSettings
{
  std::string mZone;            ///< Of this VM.
  Duration mEntriesMaxAge = 5s; ///< How long callers may keep the answer.
  EntryDirectorySettings mDirectory;
};

/// Answers the service pages of one entry process.
class EntryPages
{
public:
  using Settings = EntryPagesSettings;

  /// Nothing is owned.
  EntryPages(const Settings& aSettings,
             Reactor* aReactor,
             EntryView* aView,
             EntryPagesListener* aListener);

  /// Answers aExchange when it asks for one of these pages; else false.
  bool Answer(HttpExchange& aExchange);

private:
  using Page = void (EntryPages::*)(HttpExchange& aExchange);

  void AnswerEntries(HttpExchange& aExchange);
  void AnswerHealth(HttpExchange& aExchange);
  void AnswerReadiness(HttpExchange& aExchange);
  void AnswerMetrics(HttpExchange& aExchange);

  Settings mSettings;
  Reactor* mReactor;
  EntryView* mView;
  EntryPagesListener* mListener;
  EntryDirectory mDirectory;
};

} // namespace peridothoist
