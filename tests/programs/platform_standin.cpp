// In-memory platform: table, objects and host list over HTTP and JSON (docs/design.md, 4.2).
#include <CLI/CLI.hpp>
#include <deque>
#include <nlohmann/json.hpp>

#include "content.h"
#include "http_server.h"

namespace {

using namespace bg;
using namespace bg::support;
using Json = nlohmann::json;

struct Row
{
  uint64_t version = 0;
  std::string value;
};

/// Everything that a restore brings back.
struct Store
{
  std::map<std::string, Row> rows;
  std::map<std::string, std::string> objects;
};

enum class Mode
{
  Up,
  Down, ///< Connections are closed without a response.
  Slow, ///< Each request is served after delay_ms.
  Hang, ///< Connections stay open without a response.

  Count
};

struct Faults
{
  Mode mode = Mode::Up;
  Milliseconds delay{ 0 };
  int loseCommitResponse = 0;
  Milliseconds hostListLag{ 0 };
};

class PlatformStandin
{
public:
  PlatformStandin(EventLoop& aLoop, const std::string& aHistory)
    : loop_(aLoop)
    , history_(aHistory)
  {
  }

  void Handle(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const std::string& path = aExchange->Request().path;
    if (path == "/control" || path == "/control/hosts") {
      Guarded(aExchange, [this, &aExchange] { Control(aExchange); });
    } else if (faults_.mode == Mode::Down) {
      aExchange->Close();
    } else if (faults_.mode == Mode::Hang) {
      return;
    } else if (faults_.mode == Mode::Slow) {
      Delay(faults_.delay,
            [this, aExchange] { Guarded(aExchange, [this, aExchange] { Serve(aExchange); }); });
    } else {
      Guarded(aExchange, [this, &aExchange] { Serve(aExchange); });
    }
  }

private:
  /// Answers 400 to a body that is not valid JSON or lacks a field.
  static void Guarded(const std::shared_ptr<HttpExchange>& aExchange,
                      const std::function<void()>& aStep)
  {
    try {
      aStep();
    } catch (const Json::exception& error) {
      Reply(*aExchange, 400, { { "error", error.what() } });
    }
  }

  static void Reply(HttpExchange& aExchange, int aStatus, const Json& aBody)
  {
    aExchange.Respond({ aStatus, { { "Content-Type", "application/json" } }, aBody.dump() });
  }

  /// The table's clock. It starts at the wall clock and then follows the monotonic clock.
  int64_t NowMs() const
  {
    return startMs_ + std::chrono::duration_cast<Milliseconds>(Now() - start_).count();
  }

  void Delay(Duration aDelay, std::function<void()> aCallback)
  {
    const uint64_t id = ++lastTimer_;
    timers_[id] = loop_.RunAfter(aDelay, [this, id, callback = std::move(aCallback)] {
      const auto timer = std::move(timers_[id]);
      timers_.erase(id);
      callback();
    });
  }

  void Serve(const std::shared_ptr<HttpExchange>& aExchange)
  {
    if (aExchange->Ended()) {
      return;
    }
    const HttpRequest& request = aExchange->Request();
    const std::string route = request.method + ' ' + request.path;
    if (route == "POST /v1/table/commit") {
      Commit(*aExchange);
    } else if (route == "GET /v1/table/rows") {
      ReadRow(*aExchange);
    } else if (route == "GET /v1/table/scan") {
      Scan(*aExchange);
    } else if (route == "PUT /v1/objects") {
      store_.objects[request.Query("name")] = request.body;
      Reply(*aExchange, 200, { { "stored", true }, { "now_ms", NowMs() } });
    } else if (route == "GET /v1/objects") {
      ReadObject(*aExchange);
    } else if (route == "GET /v1/objects/list") {
      ListObjects(*aExchange);
    } else if (route == "GET /v1/hosts") {
      ListHosts(*aExchange);
    } else {
      Reply(*aExchange, 404, { { "error", "no such resource" } });
    }
  }

  void Commit(HttpExchange& aExchange)
  {
    const Json body = Json::parse(aExchange.Request().body);
    Json conflicts = Json::array();
    for (const Json& condition : body.value("conditions", Json::array())) {
      const std::string key = condition.at("key");
      const auto found = store_.rows.find(key);
      const Row row = found == store_.rows.end() ? Row{} : found->second;
      if (row.version != condition.at("version").get<uint64_t>()) {
        conflicts.push_back({ { "key", key }, { "version", row.version }, { "value", row.value } });
      }
    }
    if (!conflicts.empty()) {
      Reply(aExchange,
            409,
            { { "committed", false }, { "conflicts", conflicts }, { "now_ms", NowMs() } });
      return;
    }
    const uint64_t version = Apply(body);
    if (faults_.loseCommitResponse > 0) {
      --faults_.loseCommitResponse;
      aExchange.Close();
      return;
    }
    Reply(aExchange, 200, { { "committed", true }, { "version", version }, { "now_ms", NowMs() } });
  }

  uint64_t Apply(const Json& aCommit)
  {
    const uint64_t version = ++lastVersion_;
    for (const Json& put : aCommit.value("puts", Json::array())) {
      store_.rows[put.at("key")] = { version, put.at("value") };
      Record({ { "event", "put" },
               { "key", put.at("key") },
               { "version", version },
               { "value", put.at("value") } });
    }
    for (const Json& key : aCommit.value("deletes", Json::array())) {
      store_.rows.erase(key.get<std::string>());
      Record({ { "event", "delete" }, { "key", key }, { "version", version } });
    }
    return version;
  }

  void Record(Json aEvent)
  {
    aEvent["time_ns"] = MonotonicNs();
    aEvent["now_ms"] = NowMs();
    history_.Append(aEvent.dump());
  }

  void ReadRow(HttpExchange& aExchange)
  {
    const std::string key = aExchange.Request().Query("key");
    const auto found = store_.rows.find(key);
    const Row row = found == store_.rows.end() ? Row{} : found->second;
    Reply(aExchange,
          200,
          { { "key", key },
            { "version", row.version },
            { "value", row.value },
            { "now_ms", NowMs() } });
  }

  void Scan(HttpExchange& aExchange)
  {
    const std::string prefix = aExchange.Request().Query("prefix");
    Json rows = Json::array();
    for (auto i = store_.rows.lower_bound(prefix);
         i != store_.rows.end() && i->first.starts_with(prefix);
         ++i) {
      rows.push_back(
        { { "key", i->first }, { "version", i->second.version }, { "value", i->second.value } });
    }
    Reply(aExchange, 200, { { "rows", rows }, { "now_ms", NowMs() } });
  }

  void ReadObject(HttpExchange& aExchange)
  {
    const auto found = store_.objects.find(aExchange.Request().Query("name"));
    if (found == store_.objects.end()) {
      Reply(aExchange, 404, { { "error", "no such object" } });
      return;
    }
    aExchange.Respond({ 200, { { "Content-Type", "application/octet-stream" } }, found->second });
  }

  void ListObjects(HttpExchange& aExchange)
  {
    const std::string prefix = aExchange.Request().Query("prefix");
    Json names = Json::array();
    for (auto i = store_.objects.lower_bound(prefix);
         i != store_.objects.end() && i->first.starts_with(prefix);
         ++i) {
      names.push_back(i->first);
    }
    Reply(aExchange, 200, { { "names", names } });
  }

  void ListHosts(HttpExchange& aExchange)
  {
    while (!hostChanges_.empty() && hostChanges_.front().visibleAt <= Now()) {
      visibleHosts_ = std::move(hostChanges_.front().hosts);
      hostChanges_.pop_front();
    }
    Json hosts = Json::array();
    for (const auto& [host, entry] : visibleHosts_) {
      hosts.push_back(entry);
    }
    Reply(aExchange, 200, { { "hosts", hosts }, { "now_ms", NowMs() } });
  }

  void Control(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    const Json body = Json::parse(request.body);
    if (request.path == "/control/hosts") {
      ChangeHosts(body, request.method == "PUT");
    } else {
      ChangeFaults(body);
    }
    Reply(*aExchange, 200, { { "now_ms", NowMs() } });
  }

  /// PUT replaces the whole list; POST changes or, with "removed": true, removes single entries.
  void ChangeHosts(const Json& aBody, bool aReplace)
  {
    if (aReplace) {
      hosts_.clear();
    }
    for (const Json& entry : aBody.at("hosts")) {
      Json host = entry;
      host.erase("removed");
      hosts_[entry.at("host")] = host;
      if (entry.value("removed", false)) {
        hosts_.erase(entry.at("host"));
      }
      Record({ { "event", "host" }, { "entry", entry } });
    }
    const TimePoint visibleAt = Now() + faults_.hostListLag;
    const TimePoint previous = hostChanges_.empty() ? visibleAt : hostChanges_.back().visibleAt;
    hostChanges_.push_back({ std::max(visibleAt, previous), hosts_ });
  }

  void ChangeFaults(const Json& aBody)
  {
    const std::string mode = aBody.value("mode", "");
    if (!mode.empty()) {
      static const std::map<std::string, Mode> kModes = {
        { "up", Mode::Up }, { "down", Mode::Down }, { "slow", Mode::Slow }, { "hang", Mode::Hang }
      };
      const auto found = kModes.find(mode);
      faults_.mode = found == kModes.end() ? Mode::Up : found->second;
    }
    faults_.delay = Milliseconds(aBody.value("delay_ms", faults_.delay.count()));
    faults_.loseCommitResponse = aBody.value("lose_commit_response", faults_.loseCommitResponse);
    faults_.hostListLag =
      Milliseconds(aBody.value("host_list_lag_ms", faults_.hostListLag.count()));
    if (aBody.value("snapshot", false)) {
      snapshot_ = store_;
    }
    if (aBody.value("restore", false)) {
      store_ = snapshot_;
    }
    Record({ { "event", "control" }, { "change", aBody } });
  }

  struct HostChange
  {
    TimePoint visibleAt;
    std::map<std::string, Json> hosts;
  };

  EventLoop& loop_;
  HistoryFile history_;
  const TimePoint start_ = Now();
  const int64_t startMs_ = WallClockMs();
  Faults faults_;
  Store store_;
  Store snapshot_;
  /// Never goes back, also not with a restore, so that no version is given out twice.
  uint64_t lastVersion_ = 0;
  std::map<std::string, Json> hosts_;
  std::map<std::string, Json> visibleHosts_;
  std::deque<HostChange> hostChanges_;
  std::map<uint64_t, std::unique_ptr<EventLoop::Timer>> timers_;
  uint64_t lastTimer_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("In-memory platform for tests");
  uint16_t port = 0;
  std::string history;
  app.add_option("--port", port, "TCP port on 127.0.0.1; 0: chosen by the system");
  app.add_option("--history", history, "File to which each committed change is appended");
  CLI11_PARSE(app, argc, argv);

  EventLoop loop;
  PlatformStandin platform(loop, history);
  const auto server =
    CreateHttpServer({ &loop, port, [&platform](const std::shared_ptr<HttpExchange>& aExchange) {
                        platform.Handle(aExchange);
                      } });
  OnTerminate(loop, [&loop] { loop.Stop(); });
  PrintListening(server->Port());
  loop.Run();
  return 0;
}
