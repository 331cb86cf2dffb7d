#include "coordination_p.h"

namespace bg {

PeerSender::PeerSender(PeerSenderInit aInit)
  : init_(std::move(aInit))
{
}

size_t PeerSender::Send(std::string_view aHost, PeerBody aBody)
{
  const std::string bytes =
    EncodeMessage({ init_.host, init_.incarnation, ++sequence_, std::move(aBody) });
  bytesSent_ += bytes.size();
  detail::Notify(init_.send, aHost, bytes);
  return bytes.size();
}

} // namespace bg
