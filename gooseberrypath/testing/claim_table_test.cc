#include "gooseberrypath/claim_table.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace gooseberrypath;

namespace {

struct Entry
{
  Offset offset = 0;
  int64_t timeMs = 0;
  Record record;
};

ClaimRecord MakeClaim(const std::string& aKey, const std::string& aClaim,
                      Offset aAsOf = 1, int64_t aWindowMs = 1000)
{
  return { .service = "shop",
           .key = aKey,
           .bodyHash = "h-" + aClaim,
           .claim = aClaim,
           .daemon = "d-" + aClaim,
           .incarnation = 1,
           .peerAddress = "a-" + aClaim,
           .windowMs = aWindowMs,
           .asOf = aAsOf };
}

bool IsOf(const Entry& aEntry, const std::string& aKey)
{
  return std::visit(
    [&](const auto& aOne) {
      if constexpr (requires { aOne.claim.key; }) {
        return aOne.claim.key == aKey;
      } else if constexpr (requires { aOne.key; }) {
        return aOne.key == aKey;
      }
      return false;
    },
    aEntry.record);
}

/// The obvious version for a reader of all records: for one key, goes through the whole
/// log. The log's time is that of the newest record of any key.
std::optional<ActionRow> SlowRow(const std::vector<Entry>& aLog, const std::string& aKey)
{
  std::optional<ActionRow> row;
  for (const Entry& entry : aLog) {
    if (row && row->claimedMs + row->windowMs <= entry.timeMs) {
      row.reset();
    }
    if (!IsOf(entry, aKey)) {
      continue;
    }
    if (const auto* claim = std::get_if<ClaimRecord>(&entry.record); claim && !row) {
      row = ActionRow{ .claim = claim->claim,
                       .bodyHash = claim->bodyHash,
                       .holder = claim->daemon,
                       .holderIncarnation = claim->incarnation,
                       .holderAddress = claim->peerAddress,
                       .offset = claim->asOf,
                       .claimOffset = entry.offset,
                       .claimedMs = entry.timeMs,
                       .windowMs = claim->windowMs,
                       .answer = {} };
    }
    const auto* outcome = std::get_if<OutcomeRecord>(&entry.record);
    if (outcome && row && row->claim == outcome->claim) {
      if (outcome->isKnown && row->state != ActionRow::State::Done) {
        row->state = ActionRow::State::Done;
        row->answer = { outcome->status, outcome->headers, outcome->body };
      } else if (row->state == ActionRow::State::Claimed) {
        row->state = ActionRow::State::Unknown;
      }
    }
    const auto* abandon = std::get_if<AbandonRecord>(&entry.record);
    if (abandon && row && row->claim == abandon->claim &&
        row->state == ActionRow::State::Claimed) {
      row.reset();
    }
    const auto* carry = std::get_if<CarryRecord>(&entry.record);
    if (carry && row && row->claim == carry->claim.claim && carry->asOf > row->offset &&
        (row->state == ActionRow::State::Claimed || carry->hasOutcome) &&
        (row->state != ActionRow::State::Done || carry->outcome.isKnown)) {
      row->offset = carry->asOf;
    }
  }
  return row;
}

void ApplyAll(ClaimTable& aTable, const std::vector<Entry>& aLog, size_t aFrom)
{
  aTable.Reset(aLog[aFrom].offset);
  for (size_t i = aFrom; i < aLog.size(); ++i) {
    aTable.Apply(aLog[i].offset, aLog[i].timeMs, aLog[i].record);
  }
}

/// Tells whether the claim was not admitted when it appeared first. Its holder has given
/// it up, although a repeated append of it was admitted.
bool WasLost(const std::vector<Entry>& aLog, const ActionRow& aRow)
{
  for (const Entry& entry : aLog) {
    const auto* claim = std::get_if<ClaimRecord>(&entry.record);
    if (claim && claim->claim == aRow.claim) {
      return entry.offset != aRow.claimOffset;
    }
  }
  return true;
}

/// Writes a random log as a few daemons would that read up to three records behind the
/// head: they claim keys that seem free, record outcomes of admitted claims, abandon
/// others, carry rows and repeat their appends.
class LogWriter
{
public:
  explicit LogWriter(uint64_t aSeed)
    : random_(aSeed)
  {
  }

  std::vector<Entry> Write(size_t aLength)
  {
    while (log_.size() < aLength) {
      timeMs_ += static_cast<int64_t>(random_() % 20);
      const Record record = Next("k" + std::to_string(random_() % 4));
      log_.push_back({ log_.size() + 1, timeMs_, record });
      sent_.push_back(record);
    }
    return log_;
  }

private:
  Record Next(const std::string& aKey)
  {
    const uint64_t choice = random_() % 10;
    const size_t read = log_.size() - random_() % std::min<size_t>(log_.size() + 1, 4);
    const std::optional<ActionRow> seen =
      SlowRow({ log_.begin(), log_.begin() + static_cast<ptrdiff_t>(read) }, aKey);
    if (choice < 4 && !seen) {
      return MakeClaim(aKey, "c" + std::to_string(++claims_), read + 1);
    }
    if (choice < 6 && seen) {
      // A claim is either abandoned or dispatched; a late answer follows an unknown one.
      const bool isAbandoned = WasLost(log_, *seen) || random_() % 2 == 0;
      const auto [end, isNew] = abandoned_.try_emplace(seen->claim, isAbandoned);
      if (end->second) {
        return AbandonRecord{ "shop", aKey, seen->claim };
      }
      return OutcomeRecord{ .service = "shop",
                            .key = aKey,
                            .claim = seen->claim,
                            .isKnown = !isNew || random_() % 2 == 0,
                            .status = 200,
                            .headers = {},
                            .body = "answer of " + seen->claim };
    }
    if (choice < 8 && seen) {
      return MakeCarry({ "shop", aKey }, *seen, read + 1);
    }
    if (choice == 8 && !sent_.empty()) {
      return sent_[sent_.size() - 1 - random_() % std::min<size_t>(sent_.size(), 8)];
    }
    return UnknownRecord{ "noise" };
  }

  std::mt19937_64 random_;
  std::vector<Entry> log_;
  std::vector<Record> sent_;
  std::map<std::string, bool> abandoned_; // by claim id
  int64_t timeMs_ = 1;
  size_t claims_ = 0;
};

} // namespace

TEST_CASE("ClaimTable equals the obvious version on random logs", "[claims]")
{
  // Guards against daemons that decide differently on the same records.
  size_t logs = 0;
  size_t rows = 0;
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    const std::vector<Entry> log = LogWriter(seed).Write(60);
    Table<ActionId, ActionRow> actions;
    ClaimTable table(actions);
    ApplyAll(table, log, 0);
    for (size_t k = 0; k < 4; ++k) {
      const std::string key = "k" + std::to_string(k);
      INFO("seed " << seed << ", key " << key);
      const std::optional<ActionRow> expected = SlowRow(log, key);
      const ActionRow* row = actions.Find({ "shop", key });
      REQUIRE((row != nullptr) == expected.has_value());
      if (row) {
        CHECK(*row == *expected);
        ++rows;
      }
    }
    ++logs;
  }
  WARN("compared " << logs << " logs with " << rows << " rows");
}

TEST_CASE("A reader that starts late has the same rows", "[claims]")
{
  // Guards against a new daemon that admits a claim which the others, who have read the
  // records that retention removed, do not admit.
  size_t readers = 0;
  size_t rows = 0;
  size_t doubts = 0;
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    const std::vector<Entry> log = LogWriter(seed).Write(60);
    Table<ActionId, ActionRow> actions;
    ClaimTable table(actions);
    ApplyAll(table, log, 0);
    for (size_t from = 1; from < log.size(); ++from) {
      // All rows that need an earlier record are carried before retention reaches it.
      std::vector<Entry> kept = log;
      for (const ActionId& id : table.FindBefore(from + 1)) {
        kept.push_back({ kept.size() + 1, log.back().timeMs,
                         MakeCarry(id, *actions.Find(id), log.size() + 1) });
      }
      Table<ActionId, ActionRow> all;
      ClaimTable allTable(all);
      ApplyAll(allTable, kept, 0);
      Table<ActionId, ActionRow> late;
      ClaimTable lateTable(late);
      ApplyAll(lateTable, kept, from);
      INFO("seed " << seed << ", from offset " << from + 1);
      for (const auto& [id, row] : all) {
        REQUIRE(late.Find(id));
        // In doubt, the late reader refuses with "may have run", which is always safe.
        const bool isEqual = *late.Find(id) == row;
        CHECK((isEqual || late.Find(id)->state == ActionRow::State::Unknown));
        ++rows;
        doubts += isEqual ? 0 : 1;
      }
      for (const auto& [id, row] : late) {
        // What only the late reader has must not lead to a new claim.
        CHECK((all.Find(id) || row.state == ActionRow::State::Unknown));
      }
      ++readers;
    }
  }
  WARN("compared " << readers << " late readers with " << rows << " rows, " << doubts
                   << " of them in doubt");
  CHECK(doubts * 100 < rows);
}

TEST_CASE("A carry written before its writer read the abandon is ignored", "[claims]")
{
  // Guards against a slow daemon that blocks a key by carrying an abandoned claim, and
  // against a late reader that takes it for the admitted claim.
  const ActionId id("shop", "k");
  Table<ActionId, ActionRow> actions;
  ClaimTable table(actions);
  table.Apply(1, 1, MakeClaim("k", "a"));
  const CarryRecord carry = MakeCarry(id, *actions.Find(id), 2);
  table.Apply(2, 2, AbandonRecord{ "shop", "k", "a" });
  table.Apply(3, 3, MakeClaim("k", "b"));
  table.Apply(4, 4, carry);
  REQUIRE(actions.Find(id));
  CHECK(actions.Find(id)->claim == "b");
  // This reader cannot know whether "a" was abandoned, so it takes neither as free.
  table.Reset(3);
  table.Apply(3, 3, MakeClaim("k", "b"));
  table.Apply(4, 4, carry);
  CHECK(actions.Find(id)->state == ActionRow::State::Unknown);
}

TEST_CASE("ClaimTable forgets a claim at the end of its window", "[claims]")
{
  const ActionId id("shop", "k");
  Table<ActionId, ActionRow> actions;
  ClaimTable table(actions);
  table.Apply(1, 1000, MakeClaim("k", "a", 1, 500));
  table.Apply(2, 1499, MakeClaim("k", "b", 1, 500));
  CHECK(actions.Find(id)->claim == "a");
  table.Apply(3, 1500, MakeClaim("k", "c", 1, 500));
  CHECK(actions.Find(id)->claim == "c");
  CHECK(table.LatestMs() == 1500);
}
