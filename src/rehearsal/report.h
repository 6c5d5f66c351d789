// What a rehearsal leaves: a JSON report, and one self-contained HTML page with its plots.
#ifndef IVYGW_REHEARSAL_REPORT_H_
#define IVYGW_REHEARSAL_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "checker/checker.h"
#include "eventlog/event_log.h"

namespace ivygw::rehearsal {

// The load generator's lateness, p99 of writing a request against its intended time, beyond which a run is
// void: its times are then those of the generator.
inline constexpr double kMostLateS = 0.01;

nlohmann::json JsonReport(const eventlog::Record& record, const checker::Verdict& verdict);
std::string HtmlReport(const eventlog::Record& record, const checker::Verdict& verdict);
// A table for a terminal.
std::string TextReport(const eventlog::Record& record, const checker::Verdict& verdict);
bool Void(const checker::Verdict& verdict);

}  // namespace ivygw::rehearsal

#endif  // IVYGW_REHEARSAL_REPORT_H_
