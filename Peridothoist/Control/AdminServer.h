/// Serves operators over HTTP: knows who asks, finds the page that answers,
/// and gives all answers one form.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlSettings.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

/// One operator's call.
class AdminCall
{
public:
  AdminCall(std::shared_ptr<HttpExchange> aExchange,
            std::string aOperator,
            std::string aRest,
            nlohmann::json aBody)
    : mExchange(std::move(aExchange))
    , mOperator(std::move(aOperator))
    , mRest(std::move(aRest))
    , mBody(std::move(aBody))
  {
  }

  /// Who asks; empty on pages that are open to all.
  const std::string& Operator() const { return mOperator; }
  /// The path after the page's own, without a leading '/'.
  const std::string& Rest() const { return mRest; }
  /// The body; an object, empty when there was none.
  const nlohmann::json& Body() const { return mBody; }

  /// A text of the body; empty when it isn't there.
  std::string Text(const char* aField) const;
  /// A truth value of the body; false when it isn't there.
  bool Flag(const char* aField) const;

  void Answer(int aStatus, const nlohmann::json& aBody) const;
  void AnswerText(const char* aType, std::string aText) const;

  /// Answers with a reason and the status that fits its code. aMore is added
  /// to the answer's object.
  void Refuse(const Reason& aReason, nlohmann::json aMore = {}) const;

private:
  std::shared_ptr<HttpExchange> mExchange;
  std::string mOperator;
  std::string mRest;
  nlohmann::json mBody;
};

/// Finds the page for a call. Pages register themselves.
class AdminServer : public HttpRequestHandler
{
public:
  using Serve = std::function<void(const AdminCall&)>;

  explicit AdminServer(const std::vector<OperatorKey>& aOperators);

  /// Adds a page for a path and all paths below it.
  void Add(const char* aMethod, const char* aPath, Serve aServe);

  /// Adds one that needs no operator's key.
  void AddOpen(const char* aMethod, const char* aPath, Serve aServe);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  struct Page
  {
    std::string mMethod;
    std::string mPath;
    bool mOpen; ///< Needs no key.
    Serve mServe;
  };

  const Page* Find(const HttpRequest& aRequest, bool* aPathExists) const;
  std::optional<std::string> FindOperator(const HttpRequest& aRequest) const;

  std::vector<OperatorKey> mOperators;
  std::vector<Page> mPages;
};

} // namespace peridothoist
