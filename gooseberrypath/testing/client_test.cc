#include "gooseberrypath/client.h"

#include <deque>
#include <sstream>

#include <catch2/catch.hpp>

using namespace gooseberrypath;

namespace {

using Outcome = ClientAnswer::Outcome;

/// Runs the client with scripted answers and records what it sent.
struct Fixture
{
  std::deque<ClientAnswer> answers;
  std::vector<ClientRequest> sent;
  std::istringstream in;
  std::ostringstream out;
  std::ostringstream errors;

  int Run(const std::vector<std::string>& aArgs)
  {
    return RunClient(
      aArgs, [](const std::string&) { return std::optional<std::string>("127.0.0.1:1"); },
      [this](const ClientRequest& aRequest) {
        sent.push_back(aRequest);
        REQUIRE_FALSE(answers.empty());
        ClientAnswer answer = answers.front();
        answers.pop_front();
        return answer;
      },
      { in, out, errors });
  }
};

ClientAnswer Ok(const std::string& aBody)
{
  return { .outcome = Outcome::Answered, .status = 200, .body = aBody };
}

ClientAnswer Refused(ErrorKind aKind)
{
  return { .outcome = Outcome::Answered,
           .status = InfoOf(aKind).status,
           .body = ErrorBody({ aKind, "no" }) };
}

constexpr const char* kThree = R"([{"kind":"team","name":"a","spec":{}},
  {"kind":"team","name":"b","spec":{}},{"kind":"team","name":"c","spec":{}}])";

} // namespace

TEST_CASE("apply stops at the first refusal", "[client]")
{
  // Guards against a later resource that is written although it may depend on one that
  // was refused.
  Fixture fixture;
  fixture.in.str(kThree);
  fixture.answers = { Ok(R"({"version":5})"), Refused(ErrorKind::VersionConflict) };
  CHECK(fixture.Run({ "apply", "-f", "-" }) == 3);
  CHECK(fixture.sent.size() == 2);
  CHECK(fixture.out.str() == "team/a applied, version 5\n");
  CHECK(fixture.errors.str() == "team/b: version_conflict (HTTP status 409): no\n"
                                "stopped; applied before: team/a\n");
}

TEST_CASE("A write that may have been carried out is not repeated", "[client]")
{
  // Guards against a second write through another daemon after a lost answer.
  Fixture fixture;
  const std::vector<std::string> args = { "delete", "team", "a", "--server",
                                          "127.0.0.1:1,127.0.0.1:2" };
  SECTION("a server that did not see the request is passed over")
  {
    fixture.answers = { { .outcome = Outcome::NotSent }, Ok("{}") };
    CHECK(fixture.Run(args) == 0);
    CHECK(fixture.sent.back().server == "127.0.0.1:2");
  }
  SECTION("a lost answer ends the command")
  {
    fixture.answers = { { .outcome = Outcome::Unknown } };
    CHECK(fixture.Run(args) == 1);
  }
  SECTION("no server is reachable")
  {
    fixture.answers = { { .outcome = Outcome::NotSent },
                        { .outcome = Outcome::NotSent } };
    CHECK(fixture.Run(args) == 4);
  }
}

TEST_CASE("watch prints changes in order of the applied offset", "[client]")
{
  // Guards against changes that are printed backwards when another daemon, which has
  // applied less, answers.
  Fixture fixture;
  const std::string first = R"({"applied":7,"resources":[
    {"kind":"team","name":"a","version":6,"spec":{}},
    {"kind":"team","name":"b","version":7,"spec":{}}]})";
  fixture.answers = { Ok(first), Ok(R"({"applied":3,"resources":[]})"),
                      Ok(R"({"applied":9,"resources":[
    {"kind":"team","name":"a","version":8,"spec":{"weight":2}}]})") };
  CHECK(fixture.Run({ "watch", "team", "--count", "2" }) == 0);
  CHECK(fixture.out.str() == "changed  team/a  version 8  {\"weight\":2}\n"
                             "deleted  team/b  version 7  {}\n");
  CHECK(fixture.sent.at(1).target == "/v1/resources?kind=team&after=7&wait_ms=20000");
}

TEST_CASE("get prints a table and fails without the resource", "[client]")
{
  // Guards against scripts that take a missing resource for an existing one.
  Fixture fixture;
  fixture.answers = { Ok(R"({"applied":1,"resources":[]})"),
                      Ok(R"({"resources":[{"kind":"team","name":"a","version":1}]})") };
  CHECK(fixture.Run({ "get", "team", "a&b" }) == 1);
  CHECK(fixture.sent.at(0).target == "/v1/resources?kind=team&name=a%26b");
  CHECK(fixture.Run({ "get" }) == 0);
  CHECK(fixture.out.str() == "KIND  NAME  VERSION  SPEC\nteam  a     1        \n");
}

TEST_CASE("Wrong usage of the client ends with exit code 2", "[client]")
{
  // Guards against a mistyped command that changes something.
  Fixture fixture;
  fixture.in.str("[1]");
  const auto args = GENERATE(values<std::vector<std::string>>({
    { "aply" },
    { "apply" },
    { "apply", "-f", "-" },
    { "apply", "-f", "/nonexistent/file" },
    { "delete", "team" },
    { "delete", "team", "a", "--dry-run" },
    { "get", "a", "b", "c" },
    { "get", "--server", "localhost:1" },
    { "get", "-o", "xml" },
    { "get", "--timeout-ms", "0" },
    { "watch", "--count", "0" },
    { "drain", "--server", "127.0.0.1:1,127.0.0.1:2" },
  }));
  CAPTURE(args);
  CHECK(fixture.Run(args) == 2);
  CHECK(fixture.sent.empty());
  CHECK_FALSE(fixture.errors.str().empty());
}
