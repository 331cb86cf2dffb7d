// TCP forwarder with faults in one direction. "up" is from the caller to the target.
#include <CLI/CLI.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <deque>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "http_server.h"

namespace {

using namespace bg;
using namespace bg::support;
using Json = nlohmann::json;
using asio::ip::tcp;

/// Bytes that one direction holds before it stops reading.
constexpr size_t kMaxHeldBytes = 4UL << 20;

struct DirectionFaults
{
  bool hold = false; ///< Nothing is delivered; as with TCP, held bytes follow after the repair.
  Duration delay{ 0 };
};

struct LinkFaults
{
  DirectionFaults up;
  DirectionFaults down;
  uint64_t silentBefore = 0; ///< Connections with a lower number deliver nothing.
};

/// Copies one direction of one connection.
class Pipe : public std::enable_shared_from_this<Pipe>
{
public:
  Pipe(EventLoop& aLoop,
       std::shared_ptr<tcp::socket> aFrom,
       std::shared_ptr<tcp::socket> aTo,
       std::function<DirectionFaults()> aFaults)
    : loop_(aLoop)
    , from_(std::move(aFrom))
    , to_(std::move(aTo))
    , faults_(std::move(aFaults))
  {
  }

  void Read()
  {
    from_->async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const std::error_code& aError, size_t aSize) {
        self->Queue(aError, aSize);
      });
  }

private:
  struct Chunk
  {
    TimePoint due;
    std::string bytes; ///< Empty: end of the stream.
  };

  void Queue(const std::error_code& aError, size_t aSize)
  {
    if (aError && aError != asio::error::eof) {
      // A reset passes through at once.
      std::error_code ignored;
      to_->set_option(asio::socket_base::linger(true, 0), ignored);
      to_->close(ignored);
      return;
    }
    chunks_.push_back({ Now() + faults_().delay, std::string(buffer_.data(), aSize) });
    held_ += aSize;
    if (!aError && held_ < kMaxHeldBytes) {
      Read();
    } else {
      readPaused_ = !aError;
    }
    Write();
  }

  void Write()
  {
    if (writing_ || chunks_.empty()) {
      return;
    }
    if (!to_->is_open()) {
      chunks_.clear();
      keepAlive_.reset();
      return;
    }
    const Duration wait = chunks_.front().due - Now();
    if (faults_().hold || wait > Duration(0)) {
      // Polling keeps changes of the faults simple; 2 ms is small against the delays used.
      timer_ = loop_.RunAfter(std::clamp<Duration>(wait, Milliseconds(2), Milliseconds(10)),
                              [self = weak_from_this()] {
                                if (const auto pipe = self.lock()) {
                                  pipe->Write();
                                }
                              });
      keepAlive_ = shared_from_this();
      return;
    }
    keepAlive_.reset();
    current_ = std::move(chunks_.front().bytes);
    chunks_.pop_front();
    if (current_.empty()) {
      std::error_code ignored;
      to_->shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    WriteCurrent();
  }

  void WriteCurrent()
  {
    writing_ = true;
    asio::async_write(*to_,
                      asio::buffer(current_),
                      [self = shared_from_this()](const std::error_code& aError, size_t aSize) {
                        self->writing_ = false;
                        self->held_ -= aSize;
                        std::error_code ignored;
                        if (aError) {
                          self->from_->close(ignored);
                          return;
                        }
                        if (std::exchange(self->readPaused_, false)) {
                          self->Read();
                        }
                        self->Write();
                      });
  }

  EventLoop& loop_;
  std::shared_ptr<tcp::socket> from_;
  std::shared_ptr<tcp::socket> to_;
  std::function<DirectionFaults()> faults_;
  std::array<char, 16384> buffer_{};
  std::deque<Chunk> chunks_;
  std::string current_;
  size_t held_ = 0;
  bool writing_ = false;
  bool readPaused_ = false;
  std::unique_ptr<EventLoop::Timer> timer_;
  std::shared_ptr<Pipe> keepAlive_; ///< While a chunk waits for its time.
};

/// One listening port and its target.
class Link
{
public:
  Link(EventLoop& aLoop, uint16_t aPort, const std::string& aTarget)
    : loop_(aLoop)
    , acceptor_(aLoop.Context(), tcp::endpoint(asio::ip::address_v4::loopback(), aPort))
  {
    SetTarget(aTarget);
    Accept();
  }

  uint16_t Port() const { return acceptor_.local_endpoint().port(); }

  void Control(const Json& aBody)
  {
    if (aBody.contains("drop")) {
      const std::string drop = aBody["drop"];
      faults_.up.hold = drop == "up" || drop == "both";
      faults_.down.hold = drop == "down" || drop == "both";
    }
    faults_.up.delay = Milliseconds(aBody.value("delay_up_ms", Count(faults_.up.delay)));
    faults_.down.delay = Milliseconds(aBody.value("delay_down_ms", Count(faults_.down.delay)));
    if (aBody.value("silence_existing", false)) {
      faults_.silentBefore = lastConnection_ + 1;
    }
    if (aBody.value("reset", false)) {
      CloseAll(true);
    }
    if (aBody.contains("target")) { // Open connections go on to the target before.
      SetTarget(aBody["target"]);
    }
    const std::string half = aBody.value("half_close", "");
    for (const auto& pair : Open()) {
      std::error_code ignored;
      if (half == "up" || half == "down") {
        (half == "up" ? pair.target : pair.caller)->shutdown(tcp::socket::shutdown_send, ignored);
      }
    }
  }

private:
  struct Pair
  {
    std::shared_ptr<tcp::socket> caller;
    std::shared_ptr<tcp::socket> target;
  };
  struct WeakPair
  {
    std::weak_ptr<tcp::socket> caller;
    std::weak_ptr<tcp::socket> target;
  };

  void SetTarget(const std::string& aTarget)
  {
    const size_t colon = aTarget.rfind(':');
    target_ = tcp::endpoint(asio::ip::make_address(aTarget.substr(0, colon)),
                            static_cast<uint16_t>(std::stoi(aTarget.substr(colon + 1))));
  }

  static int64_t Count(Duration aDuration)
  {
    return std::chrono::duration_cast<Milliseconds>(aDuration).count();
  }

  std::vector<Pair> Open()
  {
    std::vector<Pair> open;
    std::erase_if(pairs_, [](const WeakPair& aPair) { return aPair.caller.expired(); });
    for (const WeakPair& pair : pairs_) {
      if (Pair locked{ pair.caller.lock(), pair.target.lock() }; locked.caller && locked.target) {
        open.push_back(std::move(locked));
      }
    }
    return open;
  }

  void CloseAll(bool aReset)
  {
    for (const Pair& pair : Open()) {
      for (const auto& socket : { pair.caller, pair.target }) {
        std::error_code ignored;
        socket->set_option(asio::socket_base::linger(aReset, 0), ignored);
        socket->close(ignored);
      }
    }
  }

  void Accept()
  {
    acceptor_.async_accept([this](const std::error_code& aError, tcp::socket aSocket) {
      if (!aError) {
        Connect(std::make_shared<tcp::socket>(std::move(aSocket)));
      }
      if (aError != asio::error::operation_aborted) {
        Accept();
      }
    });
  }

  void Connect(const std::shared_ptr<tcp::socket>& aCaller)
  {
    const uint64_t number = ++lastConnection_;
    auto target = std::make_shared<tcp::socket>(loop_.Context());
    target->async_connect(target_,
                          [this, number, caller = aCaller, target](const std::error_code& aError) {
                            std::error_code ignored;
                            if (aError) {
                              caller->set_option(asio::socket_base::linger(true, 0), ignored);
                              caller->close(ignored);
                              return;
                            }
                            caller->set_option(tcp::no_delay(true), ignored);
                            target->set_option(tcp::no_delay(true), ignored);
                            pairs_.push_back({ caller, target });
                            Start(number, caller, target);
                          });
  }

  void Start(uint64_t aNumber,
             const std::shared_ptr<tcp::socket>& aCaller,
             const std::shared_ptr<tcp::socket>& aTarget)
  {
    const auto faults = [this, aNumber](DirectionFaults LinkFaults::*aDirection) {
      return [this, aNumber, aDirection] {
        DirectionFaults current = faults_.*aDirection;
        current.hold = current.hold || aNumber < faults_.silentBefore;
        return current;
      };
    };
    std::make_shared<Pipe>(loop_, aCaller, aTarget, faults(&LinkFaults::up))->Read();
    std::make_shared<Pipe>(loop_, aTarget, aCaller, faults(&LinkFaults::down))->Read();
  }

  EventLoop& loop_;
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  LinkFaults faults_;
  uint64_t lastConnection_ = 0;
  std::vector<WeakPair> pairs_;
};

/// All links of the process, with the control interface.
class Links
{
public:
  explicit Links(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  uint16_t Add(uint16_t aPort, const std::string& aTarget)
  {
    links_.push_back(std::make_unique<Link>(loop_, aPort, aTarget));
    return links_.back()->Port();
  }

  /// POST /links {"target":"IP:PORT"} adds a link; POST /control {"port":N,...} changes faults of
  /// one link, or of all links without a port.
  void Handle(HttpExchange& aExchange)
  {
    try {
      const Json body = Json::parse(aExchange.Request().body);
      if (aExchange.Request().path == "/links") {
        const uint16_t port = Add(body.value("port", uint16_t{ 0 }), body.at("target"));
        aExchange.Respond({ 200, {}, Json({ { "port", port } }).dump() });
        return;
      }
      const size_t matched = Control(body);
      aExchange.Respond({ matched > 0 ? 200 : 404, {}, Json({ { "matched", matched } }).dump() });
    } catch (const std::exception& error) {
      aExchange.Respond({ 400, {}, Json({ { "error", error.what() } }).dump() });
    }
  }

private:
  size_t Control(const Json& aBody)
  {
    size_t matched = 0;
    for (const auto& link : links_) {
      if (!aBody.contains("port") || aBody["port"] == link->Port()) {
        link->Control(aBody);
        ++matched;
      }
    }
    return matched;
  }

  EventLoop& loop_;
  std::vector<std::unique_ptr<Link>> links_;
};

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("TCP forwarder with faults in one direction");
  uint16_t port = 0;
  uint16_t controlPort = 0;
  std::string target;
  app.add_option("--port,--listen", port, "TCP port of the first link; 0: by the system");
  app.add_option("--control-port", controlPort, "HTTP port for control; 0: by the system");
  app.add_option("--target", target, "IP:PORT of the first link; none: links are added later");
  CLI11_PARSE(app, argc, argv);

  EventLoop loop;
  Links links(loop);
  const auto server = CreateHttpServer(
    { &loop, controlPort, [&links](const std::shared_ptr<HttpExchange>& aExchange) {
       links.Handle(*aExchange);
     } });
  OnTerminate(loop, [&loop] { loop.Stop(); });
  PrintListening(target.empty() ? server->Port() : links.Add(port, target));
  std::cout << "control_port=" << server->Port() << std::endl;
  loop.Run();
  return 0;
}
