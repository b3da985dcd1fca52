#include "entry/entry_counters.h"

#include <algorithm>
#include <string_view>

namespace gooseberrypath::entry {

namespace {

struct Description
{
  std::string_view name;
  std::string_view help;
};

constexpr std::array<Description, static_cast<size_t>(EntryCounter::Count_)> kCounters = {
  {
    { "calls_arrived_total", "Calls that were read whole" },
    { "calls_answered_total", "Calls that got a backend's answer" },
    { "calls_refused_total", "Calls that were refused and not run" },
    { "calls_failed_total", "Calls that failed and may have run" },
    { "calls_aborted_total", "Streams that were broken off" },
    { "callers_gone_total", "Callers that left before their answer" },
    { "attempts_sent_total", "Calls sent to a backend" },
    { "attempts_not_sent_total", "Attempts of which no byte reached a backend" },
    { "attempts_refused_total", "Attempts that a backend refused and did not run" },
    { "attempts_broken_total", "Attempts that broke after they were sent" },
    { "attempts_broken_at_start_total",
      "Attempts whose connection ended before any event of the answer" },
    { "attempts_withdrawn_total", "Attempts that went elsewhere before they were sent" },
    { "answers_oversized_total", "Answers that were given up because of their size" },
    { "answers_close_delimited_total",
      "Answers whose end only the end of the connection marked" },
    { "unasked_bytes_total", "Connections closed for bytes that belong to no call" },
    { "streams_stalled_total", "Streams that were moved because no event came" },
    { "quiet_asked_total", "Answers in which a backend asked for no calls" },
    { "limit_changes_total", "Limits that backends named, changed or lifted" },
    { "limits_avoided_total", "Attempts sent elsewhere as a backend was at its limit" },
    { "limits_refused_total", "Calls refused as all backends were at their limits" },
    { "parts_blocked_total", "Times that a part of a prompt was blocked" },
    { "parts_freed_total", "Times that a blocked part of a prompt was freed" },
    { "requests_blocked_total", "Times that a request was blocked" },
    { "parts_refused_total", "Calls refused for a blocked part of their prompt" },
    { "parts_stopped_total", "Attempts given up as a part was blocked meanwhile" },
    { "part_trials_total", "Calls with a blocked part that were sent to try it" },
    { "permits_asked_total", "Requests to other daemons for permits" },
    { "permits_unanswered_total", "Requests for permits without a reply" },
    { "permits_granted_total", "Permits that this daemon granted" },
    { "permits_denied_total", "Requests for permits that got none from this daemon" },
    { "placements_asked_total", "Calls for whose placement a placer was asked" },
    { "placements_placed_total", "Calls that a placer gave a backend" },
    { "placements_held_total", "Calls that waited for a free slot" },
    { "placements_refused_total", "Calls refused as no slot was free in time" },
    { "placements_unanswered_total", "Requests for placements without a reply in time" },
    { "placements_released_total", "Placements that ended after their call was sent" },
    { "placements_given_up_total", "Requests and placements that were not used" },
    { "unknown_fields_total", "Names of the platform that this version does not know" },
    { "attempts_repeated_total", "Calls sent to another backend" },
    { "repeats_denied_total", "Repeats that the retry budget did not allow" },
    { "streams_resumed_total", "Streams that went on at another engine" },
    { "configurations_applied_total", "Versions of the configuration that were applied" },
    { "configuration_checks_total", "Reads of the configuration besides the long poll" },
    { "fleet_changes_total", "Entries of backends that were read" },
    { "fleet_checks_total", "Reads because nobody had confirmed the fleet lately" },
    { "fleet_reads_total", "Reads of the fleet that succeeded, also without changes" },
    { "store_lost_total", "Times that the platform's store got out of reach" },
    { "store_reads_failed_total", "Reads of the platform's store that failed" },
    { "store_went_back_total", "Times that the store came back from a copy" },
    { "digests_received_total", "Datagrams of other daemons" },
    { "digests_malformed_total", "Datagrams that could not be read" },
    { "duties_taken_total", "Times that this daemon took the duties" },
    { "duties_lost_total", "Times that this daemon lost the duties" },
    { "reports_sent_total", "Usage reports that were sent" },
    { "orders_sent_total", "Orders for backends that were sent" },
    { "log_lines_dropped_total", "Lines of the log that were left out" },
  }
};

constexpr std::array<Description, static_cast<size_t>(EntryHistogram::Count_)>
  kHistograms = { {
    { "first_event_ms", "From the arrival of a streamed call to its first event" },
    { "plain_answer_ms", "From the arrival of another call to its answer" },
    { "refusal_ms", "From the arrival of a call to its refusal" },
    { "placement_reply_ms", "From a request for a placement to the first reply" },
  } };

/// Upper bounds of the buckets in milliseconds.
constexpr std::array<double, 13> kBucketBoundsMs = { 10,   25,   50,   100, 150,
                                                     200,  300,  500,  800, 1200,
                                                     2500, 5000, 10000 };

constexpr std::string_view kPrefix = "gooseberrypath_entry_";

void RenderHead(std::string& aInto, const Description& aDescription,
                std::string_view aType)
{
  aInto.append("# HELP ").append(kPrefix).append(aDescription.name);
  aInto.append(" ").append(aDescription.help).append("\n# TYPE ").append(kPrefix);
  aInto.append(aDescription.name).append(" ").append(aType).append("\n");
}

std::string BoundText(size_t aBucket)
{
  return aBucket < kBucketBoundsMs.size()
           ? std::to_string(static_cast<int>(kBucketBoundsMs.at(aBucket)))
           : "+Inf";
}

} // namespace

void EntryCounters::Observe(EntryHistogram aHistogram, double aMilliseconds)
{
  Histogram& histogram = histograms_.at(static_cast<size_t>(aHistogram));
  const auto bucket =
    std::ranges::lower_bound(kBucketBoundsMs, aMilliseconds) - kBucketBoundsMs.begin();
  ++histogram.buckets.at(static_cast<size_t>(bucket));
  histogram.sum += aMilliseconds;
}

std::string EntryCounters::Render() const
{
  std::string text;
  for (size_t i = 0; i < values_.size(); ++i) {
    RenderHead(text, kCounters.at(i), "counter");
    text.append(kPrefix).append(kCounters.at(i).name).append(" ");
    text.append(std::to_string(values_.at(i))).append("\n");
  }
  for (size_t i = 0; i < histograms_.size(); ++i) {
    const Description& description = kHistograms.at(i);
    const Histogram& histogram = histograms_.at(i);
    RenderHead(text, description, "histogram");
    uint64_t total = 0;
    for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
      total += histogram.buckets.at(bucket);
      text.append(kPrefix).append(description.name).append("_bucket{le=\"");
      text.append(BoundText(bucket)).append("\"} ").append(std::to_string(total));
      text.append("\n");
    }
    text.append(kPrefix).append(description.name).append("_sum ");
    text.append(std::to_string(histogram.sum)).append("\n");
    text.append(kPrefix).append(description.name).append("_count ");
    text.append(std::to_string(total)).append("\n");
  }
  return text;
}

} // namespace gooseberrypath::entry
