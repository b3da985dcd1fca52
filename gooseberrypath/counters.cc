#include "gooseberrypath/counters.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>

namespace gooseberrypath {

namespace {

struct Row
{
  Counter counter;
  std::string_view name; // without prefix and suffix
  std::string_view help;
};

using enum Counter;

constexpr Row kRows[] = {
  { RequestsAccepted, "requests_accepted", "Requests that were accepted." },
  { RequestsAnswered, "requests_answered", "Requests that were answered." },
  { RequestsRefused, "requests_refused", "Requests that were refused as not run." },
  { CallersGone, "callers_gone", "Callers that left before their answer was complete." },
  { AttemptsStarted, "attempts_started", "Attempts started on backends." },
  { AttemptsNotSent, "attempts_not_sent", "Attempts whose connection was refused." },
  { AttemptsBroken, "attempts_broken", "Attempts that broke after a byte may be sent." },
  { AttemptsStalled, "attempts_stalled", "Attempts without a token in the stall time." },
  { AttemptsResumed, "attempts_resumed", "Streams resumed on another backend." },
  { TokensReceived, "tokens_received", "Tokens received from engines." },
  { TokensDropped, "tokens_dropped", "Tokens dropped as late, crossed or out of order." },
  { TokensRepeated, "tokens_repeated", "Tokens generated again after a resume." },
  { ClaimsAppended, "claims_appended", "Claim records appended." },
  { ClaimsAdmitted, "claims_admitted", "Own claims that were admitted." },
  { ClaimsLost, "claims_lost", "Own claims that found another claim admitted." },
  { ClaimsGivenUp, "claims_given_up", "Own claims given up before dispatch." },
  { OutcomesRecorded, "outcomes_recorded", "Outcomes of actions recorded in the log." },
  { OutcomesReplayed, "outcomes_replayed", "Requests answered from a recorded outcome." },
  { OutcomesUnknown, "outcomes_unknown", "Actions that ended with an unknown outcome." },
  { JobsAccepted, "jobs_accepted", "Queued requests accepted." },
  { JobsTakenOver, "jobs_taken_over", "Queued requests taken over from other daemons." },
  { JobsSuperseded, "jobs_superseded", "Own leases that another daemon superseded." },
  { JobsEnded, "jobs_ended", "Queued requests that ended under an own lease." },
  { JobsGivenUp, "jobs_given_up", "Queued requests given up before their acceptance." },
  { RecordsApplied, "records_applied", "Log records applied." },
  { RecordsSkipped, "records_skipped", "Log records skipped as invalid." },
  { WritesAccepted, "writes_accepted", "Operators' writes that were accepted." },
  { WritesRefused, "writes_refused", "Operators' writes that were refused." },
  { LogReadFailures, "log_read_failures", "Reads of the log that failed." },
  { AppendFailures, "append_failures", "Appends to the log that failed." },
  { GossipSent, "gossip_sent", "Gossip messages sent." },
  { Counter::GossipReceived, "gossip_received", "Gossip messages received." },
  { GossipFailures, "gossip_failures", "Gossip messages that were not delivered." },
  { HostsLeaving, "hosts_leaving", "Hosts that were found to be leaving." },
  { SnapshotsAppended, "snapshots_appended", "Configuration snapshots appended." },
  { SnapshotsDiffering, "snapshots_differing",
    "Configuration snapshots that differ from the own state at their offset." },
  { SnapshotsInstalled, "snapshots_installed",
    "Configuration snapshots that replaced the own state." },
  { StreamsMoved, "streams_moved", "Streams moved away from leaving hosts." },
  { KvExportsAsked, "kv_exports_asked", "KV cache exports asked for." },
  { KvExportsFailed, "kv_exports_failed", "KV cache exports refused or not in time." },
  { KvExportsLate, "kv_exports_late", "KV cache exports of streams that had moved." },
  { KvHandlesRefused, "kv_handles_refused", "KV handles that a new engine refused." },
  { StreamsKept, "streams_kept", "Model requests that went on without their caller." },
  { StreamsReattached, "streams_reattached", "Streams that a caller read again." },
  { StreamsHandedOver, "streams_handed_over", "Streams that a peer took." },
  { StreamsTakenOver, "streams_taken_over", "Streams taken from a peer." },
  { StreamsNotTakenOver, "streams_not_taken_over", "Streams of a peer refused." },
};

constexpr bool IsInEnumOrder()
{
  for (size_t i = 0; i < std::size(kRows); ++i) {
    if (static_cast<size_t>(kRows[i].counter) != i) {
      return false;
    }
  }
  return true;
}
static_assert(std::size(kRows) == static_cast<size_t>(Count_), "a counter has no name");
static_assert(IsInEnumOrder(), "Render() indexes the table by counter");

constexpr std::string_view kPrefix = "gooseberrypath_";

std::string RenderOne(const std::string& aName, std::string_view aHelp,
                      std::string_view aType, const std::string& aValue)
{
  return "# HELP " + aName + " " + std::string(aHelp) + "\n# TYPE " + aName + " " +
         std::string(aType) + "\n" + aName + " " + aValue + "\n";
}

std::string NumberText(double aValue)
{
  if (std::isnan(aValue)) {
    return "NaN";
  }
  if (std::isinf(aValue)) {
    return aValue > 0 ? "+Inf" : "-Inf";
  }
  std::string text = std::to_string(aValue);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

} // namespace

std::string Counters::Render() const
{
  std::string text;
  for (const Row& row : kRows) {
    text += RenderOne(std::string(kPrefix) + std::string(row.name) + "_total", row.help,
                      "counter", std::to_string(Get(row.counter)));
  }
  return text;
}

std::string RenderGauges(std::span<const Gauge> aGauges)
{
  std::string text;
  for (const Gauge& gauge : aGauges) {
    text += RenderOne(std::string(kPrefix) + std::string(gauge.name), gauge.help, "gauge",
                      NumberText(gauge.value));
  }
  return text;
}

std::string RenderGauges(const DaemonGauges& aGauges)
{
  const Gauge gauges[] = {
    { "state", "0 starting, 1 serving, 2 draining.",
      static_cast<double>(static_cast<int>(aGauges.state)) },
    { "running_requests", "Requests running now.",
      static_cast<double>(aGauges.runningRequests) },
    { "applied_offset", "Highest offset of the stream config applied.",
      static_cast<double>(aGauges.appliedOffset) },
    { "log_contact_age_seconds", "Seconds since the log answered; +Inf: never.",
      aGauges.secondsSinceLogContact },
  };
  return RenderGauges(gauges);
}

} // namespace gooseberrypath
