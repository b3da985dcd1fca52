// Stand-ins for the neighbours of ClaimSystem in claim_simulation.h: a dispatch system, a
// naive claim system and a shop service.

#ifndef GOOSEBERRYPATH_TESTING_CLAIM_FAKES_H_
#define GOOSEBERRYPATH_TESTING_CLAIM_FAKES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberrypath/world.h"

namespace gooseberrypath::testing {

using namespace std::chrono_literals;

/// The simplest dispatch: one attempt at a time, over three backends in order. With
/// kRetriesBroken it also retries attempts that may have run.
template<bool kRetriesBroken>
class TestDispatch
{
public:
  explicit TestDispatch(World& aWorld)
    : world_(aWorld)
  {
  }

  void Start() {}

  void Handle(const CallerRequest& aEvent)
  {
    RequestRow row;
    row.caller = aEvent;
    row.service = aEvent.target.substr(1);
    row.key = FindHeader(aEvent.headers, "Idempotency-Key");
    row.arrived = world_.Now();
    row.deadline = world_.Now() + 5s;
    row.stage = RequestStage::AwaitingClaim;
    world_.requests.Insert(aEvent.request, std::move(row));
  }

  void Handle(const CallerGone& aEvent)
  {
    if (RequestRow* row = world_.requests.Find(aEvent.request)) {
      row->callerGone = true; // a running attempt goes on
    }
  }

  void Handle(const AttemptNotSent& aEvent)
  {
    EndAttempt(aEvent.attempt, [this](RequestId aId, RequestRow& aRow) {
      if (aRow.attempts < kBackends) {
        aRow.stage = RequestStage::Ready;
      } else {
        End(aRow, ClaimEnd::How::Abandoned, {});
        Fail(aId, ErrorKind::NoBackend);
      }
    });
  }

  void Handle(const AttemptAnswered& aEvent)
  {
    EndAttempt(aEvent.attempt, [&](RequestId aId, RequestRow& aRow) {
      const StoredAnswer answer{ aEvent.status, aEvent.headers, aEvent.body };
      End(aRow, ClaimEnd::How::Done, answer);
      Answer(aId, answer);
    });
  }

  void Handle(const AttemptBroken& aEvent)
  {
    EndAttempt(aEvent.attempt, [this](RequestId aId, RequestRow& aRow) {
      if (kRetriesBroken && aRow.attempts < kBackends) {
        aRow.stage = RequestStage::Ready;
        return;
      }
      End(aRow, ClaimEnd::How::Unknown, {});
      Fail(aId, ErrorKind::OutcomeUnknown);
    });
  }

  void Run()
  {
    world_.dispatchQueue.clear(); // every request is looked at
    std::vector<RequestId> ids;
    for (const auto& [id, row] : world_.requests) {
      ids.push_back(id);
    }
    for (const RequestId id : ids) {
      RequestRow& row = *world_.requests.Find(id);
      if (row.stage == RequestStage::Decided) {
        if (const auto* error = std::get_if<Error>(&*row.decision)) {
          Fail(id, error->kind);
        } else {
          Answer(id, std::get<StoredAnswer>(*row.decision));
        }
      } else if (row.stage == RequestStage::Ready) {
        StartAttempt(id, row);
      } else if (row.stage == RequestStage::Running && world_.Now() >= row.deadline &&
                 !row.headSent) {
        row.headSent = true; // the late answer is recorded, not sent
        Reply(id, 504, ErrorKind::DeadlineExceeded, {});
      }
    }
  }

private:
  static constexpr uint32_t kBackends = 3;

  void StartAttempt(RequestId aId, RequestRow& aRow)
  {
    if (aRow.callerGone || world_.Now() >= aRow.deadline) {
      End(aRow, ClaimEnd::How::Abandoned, {});
      // The claim system has run in this tick already.
      world_.timers.SubscribeAt(world_.Now(), [](TimePoint) {});
      Fail(aId, ErrorKind::QueueTimeout);
      return;
    }
    const auto attempt = world_.NewId<AttemptId>();
    const std::string backend = "b" + std::to_string(aRow.attempts++ % kBackends);
    world_.attempts.Insert(
      attempt,
      { .request = aId, .backend = backend, .span = {}, .started = {}, .lastToken = {} });
    aRow.stage = RequestStage::Running;
    world_.timers.SubscribeAt(aRow.deadline, [](TimePoint) {});
    world_.Emit(StartServiceAttempt{ .attempt = attempt,
                                     .address = backend,
                                     .method = aRow.caller.method,
                                     .target = aRow.caller.target,
                                     .headers = aRow.caller.headers,
                                     .body = aRow.caller.body,
                                     .timeout = aRow.deadline - world_.Now() });
  }

  template<typename F>
  void EndAttempt(AttemptId aAttempt, F aFunction)
  {
    const AttemptRow* attempt = world_.attempts.Find(aAttempt);
    if (attempt) {
      const RequestId id = attempt->request;
      world_.attempts.Erase(aAttempt);
      aFunction(id, *world_.requests.Find(id));
    }
  }

  void End(const RequestRow& aRow, ClaimEnd::How aHow, const StoredAnswer& aAnswer)
  {
    world_.claimEnds.push_back({ .action = { aRow.service, aRow.key },
                                 .claim = aRow.claim,
                                 .how = aHow,
                                 .answer = aAnswer });
  }

  void Reply(RequestId aId, int aStatus, std::optional<ErrorKind> aKind,
             const std::string& aBody)
  {
    Headers headers;
    if (aKind) {
      headers.push_back({ "X-Kind", std::string(InfoOf(*aKind).name) });
      headers.push_back({ "X-Run", std::string(NameOf(InfoOf(*aKind).run)) });
    }
    world_.Emit(ReplyWhole{
      .request = aId, .status = aStatus, .headers = std::move(headers), .body = aBody });
  }

  void Fail(RequestId aId, ErrorKind aKind)
  {
    if (!world_.requests.Find(aId)->headSent) {
      Reply(aId, InfoOf(aKind).status, aKind, {});
    }
    world_.requests.Erase(aId);
  }

  void Answer(RequestId aId, const StoredAnswer& aAnswer)
  {
    if (!world_.requests.Find(aId)->headSent) {
      Reply(aId, aAnswer.status, std::nullopt, std::string(aAnswer.body.View()));
    }
    world_.requests.Erase(aId);
  }

  World& world_;
};

/// Keeps claims in local memory and forgets those that end in an error.
class NaiveClaimSystem
{
public:
  explicit NaiveClaimSystem(World& aWorld)
    : world_(aWorld)
  {
  }

  void Start() {}

  void Run()
  {
    for (; !world_.claimEnds.empty(); world_.claimEnds.pop_front()) {
      const ClaimEnd& end = world_.claimEnds.front();
      if (end.how == ClaimEnd::How::Done) {
        claims_[end.action] = end.answer;
      } else {
        claims_.erase(end.action);
      }
    }
    for (auto& [id, row] : world_.requests) {
      if (row.stage != RequestStage::AwaitingClaim) {
        continue;
      }
      const auto [claim, isNew] = claims_.try_emplace({ row.service, row.key });
      if (isNew) {
        row.claim = "local";
        row.stage = RequestStage::Ready;
      } else if (claim->second) {
        row.decision = *claim->second;
        row.stage = RequestStage::Decided;
      }
    }
  }

private:
  World& world_;
  std::map<ActionId, std::optional<StoredAnswer>> claims_; // empty: running
};

/// A shop service that counts what it runs.
struct FakeService
{
  enum class Fault : uint8_t
  {
    None,
    Refuse,         // no connection
    BreakBeforeRun, // bytes were sent, nothing ran
    BreakAfterRun,  // it ran, the answer is lost
  };

  std::map<std::string, Fault> faults; // by backend
  Duration duration = 20ms;
  bool deduplicates = false;
  std::map<std::string, uint32_t> runs;      // by key
  std::map<std::string, std::string> bodies; // answer of the newest run, by key
  std::set<std::string> callsRun;            // "X-Call" of the requests that ran
};

} // namespace gooseberrypath::testing

#endif // GOOSEBERRYPATH_TESTING_CLAIM_FAKES_H_
