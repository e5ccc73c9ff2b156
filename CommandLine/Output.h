/// Prints answers: JSON as it came, or aligned text for people.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <CommandLine/AdminClient.h>

namespace peridothoist::ctl {

/// Forms of output.
enum class OutputForm
{
  Text,
  Json
};

std::optional<OutputForm>
OutputFormFromName(std::string_view aName);

/// Writes to standard output, and errors to standard error.
class Output
{
public:
  explicit Output(OutputForm aForm)
    : mForm(aForm)
  {
  }

  /// Prints a document: one "path: value" line each in text.
  void Print(const nlohmann::json& aDocument) const;

  /// Prints a list of objects as a table with the given columns.
  void PrintTable(const nlohmann::json& aRows,
                  const std::vector<std::string>& aColumns) const;

  /// Prints a line for people; nothing in JSON.
  void Say(const std::string& aLine) const;

  /// Prints why a call failed, what it conflicts with included, and gives
  /// its exit code.
  ExitCode Fail(const AdminAnswer& aAnswer) const;

  /// Prints a usage error.
  static ExitCode FailUsage(const std::string& aText);

  OutputForm Form() const { return mForm; }

private:
  OutputForm mForm;
};

} // namespace peridothoist::ctl
