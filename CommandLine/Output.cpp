#include <Peridothoist/Peridothoist.h>
#include <CommandLine/Output.h>

#include <algorithm>
#include <iostream>

namespace peridothoist::ctl {

namespace {

using Json = nlohmann::json;

std::string
CellOf(const Json& aValue)
{
  if (aValue.is_null()) {
    return "-";
  }
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

void
PrintPaths(const Json& aValue, const std::string& aPath)
{
  if (aValue.is_object() && !aValue.empty()) {
    for (const auto& it : aValue.items()) {
      PrintPaths(it.value(), aPath.empty() ? it.key() : aPath + "." + it.key());
    }
    return;
  }
  if (aValue.is_array() && !aValue.empty() && aValue.front().is_object()) {
    for (std::size_t n = 0; n < aValue.size(); ++n) {
      PrintPaths(aValue[n], aPath + "[" + std::to_string(n) + "]");
    }
    return;
  }
  std::cout << aPath << ": " << CellOf(aValue) << "\n";
}

std::string
CellOf(const Json& aRow, const std::string& aColumn)
{
  const auto it = aRow.find(aColumn);
  return it == aRow.end() ? "-" : CellOf(*it);
}

void
PrintRow(const std::vector<std::string>& aCells,
         const std::vector<std::size_t>& aWidths)
{
  for (std::size_t n = 0; n < aCells.size(); ++n) {
    const bool last = n + 1 == aCells.size();
    const std::size_t pad = last ? 0 : aWidths[n] - aCells[n].size() + 2;
    std::cout << aCells[n] << std::string(pad, ' ');
  }
  std::cout << "\n";
}

} // namespace

std::optional<OutputForm>
OutputFormFromName(std::string_view aName)
{
  if (aName == "text") {
    return OutputForm::Text;
  }
  if (aName == "json") {
    return OutputForm::Json;
  }
  return std::nullopt;
}

void
Output::Print(const Json& aDocument) const
{
  if (mForm == OutputForm::Json) {
    std::cout << aDocument.dump(2) << "\n";
    return;
  }
  PrintPaths(aDocument, "");
}

void
Output::PrintTable(const Json& aRows,
                   const std::vector<std::string>& aColumns) const
{
  if (mForm == OutputForm::Json) {
    std::cout << aRows.dump(2) << "\n";
    return;
  }
  std::vector<std::vector<std::string>> lines = { aColumns };
  for (const Json& row : aRows) {
    std::vector<std::string> cells;
    for (const std::string& column : aColumns) {
      cells.push_back(CellOf(row, column));
    }
    lines.push_back(std::move(cells));
  }
  std::vector<std::size_t> widths(aColumns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t n = 0; n < line.size(); ++n) {
      widths[n] = std::max(widths[n], line[n].size());
    }
  }
  for (const auto& line : lines) {
    PrintRow(line, widths);
  }
}

void
Output::Say(const std::string& aLine) const
{
  if (mForm == OutputForm::Text) {
    std::cout << aLine << "\n";
  }
}

ExitCode
Output::Fail(const AdminAnswer& aAnswer) const
{
  if (!aAnswer.mBody.is_null()) {
    std::cerr << aAnswer.mBody.dump(2) << "\n";
  }
  if (!aAnswer.mFailure.empty()) {
    std::cerr << "peridothoistctl: " << aAnswer.mFailure << "\n";
  }
  if (aAnswer.mCode == ExitCode::InDoubt) {
    std::cerr << "peridothoistctl: the change may have taken effect; "
                 "look with: peridothoistctl status\n";
  }
  return aAnswer.mCode;
}

ExitCode
Output::FailUsage(const std::string& aText)
{
  std::cerr << "peridothoistctl: " << aText << "\n";
  return ExitCode::Usage;
}

} // namespace peridothoist::ctl
