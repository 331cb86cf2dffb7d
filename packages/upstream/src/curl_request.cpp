#include <algorithm>

#include <curl/curl.h>

#include "upstream_p.h"

namespace bg::detail {

namespace {

/// Size in bytes of the read buffer and of the upload buffer of a transfer. An upstream that sends
/// without end is read in pieces of this size, in turn with all other connections.
constexpr long kReadBufferBytes = 16L << 10;
constexpr long kUploadBufferBytes = 64L << 10;

long ToMilliseconds(Duration aDuration)
{
  return std::max<long>(1, std::chrono::ceil<Milliseconds>(aDuration).count());
}

std::string MakeUrl(const UpstreamRequest& aRequest)
{
  const bool isIpv6 = aRequest.address.find(':') != std::string::npos;
  return "http://" + (isIpv6 ? "[" + aRequest.address + "]" : aRequest.address) + ":" +
         std::to_string(aRequest.port) + "/";
}

/// True for header fields that curl sets or that this client removes.
bool IsManagedField(std::string_view aName)
{
  return EqualsIgnoreCase(aName, "content-length") || EqualsIgnoreCase(aName, "expect");
}

curl_slist* BuildHeaderList(const UpstreamRequest& aRequest)
{
  curl_slist* list = nullptr;
  for (const HttpHeader& header : aRequest.headers) {
    if (IsManagedField(header.name) || IsHopByHop(header.name, aRequest.headers)) {
      continue;
    }
    // curl sends a field with an empty value if the entry is "Name;".
    const std::string line =
      header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
    list = curl_slist_append(list, line.c_str());
  }
  // An entry "Name:" prevents curl from adding this field.
  for (const char* name : { "Accept", "Content-Type", "Expect" }) {
    if (FindHeader(aRequest.headers, name) == nullptr || IsManagedField(name)) {
      list = curl_slist_append(list, (std::string(name) + ":").c_str());
    }
  }
  return list;
}

size_t OnHeader(char* aData, size_t aSize, size_t aCount, void* aResponse)
{
  const size_t bytes = aSize * aCount;
  return static_cast<ResponseReader*>(aResponse)->AddHeaderLine({ aData, bytes }) ? bytes : 0;
}

size_t OnBody(char* aData, size_t aSize, size_t aCount, void* aResponse)
{
  const size_t bytes = aSize * aCount;
  return static_cast<ResponseReader*>(aResponse)->AddBody({ aData, bytes }) ? bytes : 0;
}

void SetMethod(CURL* aEasy, const UpstreamRequest& aRequest)
{
  const bool isHead = aRequest.method == "HEAD";
  const bool hasBody = aRequest.body != nullptr && !aRequest.body->empty();
  const bool expectsBody =
    aRequest.method == "POST" || aRequest.method == "PUT" || aRequest.method == "PATCH";
  curl_easy_setopt(aEasy, CURLOPT_NOBODY, 0L);
  if (!isHead && (hasBody || expectsBody)) {
    curl_easy_setopt(aEasy, CURLOPT_POST, 1L);
    curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, hasBody ? aRequest.body->data() : "");
    curl_easy_setopt(aEasy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(hasBody ? aRequest.body->size() : 0));
  } else {
    curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, nullptr);
    curl_easy_setopt(aEasy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(aEasy, CURLOPT_NOBODY, isHead ? 1L : 0L);
  }
  curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, aRequest.method.c_str());
}

} // namespace

size_t MaxReceivedBytes(size_t aMaxBodyBytes)
{
  // Chunks of a few bytes are as large as their framing.
  return 2 * aMaxBodyBytes + 2 * kMaxHeaderBytes;
}

void SetFixedOptions(CURL* aEasy)
{
  curl_easy_setopt(aEasy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(aEasy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aEasy, CURLOPT_NOPROGRESS, 1L);
  curl_easy_setopt(aEasy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(aEasy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
  curl_easy_setopt(aEasy, CURLOPT_HTTP_TRANSFER_DECODING, 0L); // ResponseReader decodes.
  curl_easy_setopt(aEasy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(aEasy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(aEasy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(aEasy, CURLOPT_BUFFERSIZE, kReadBufferBytes);
  curl_easy_setopt(aEasy, CURLOPT_UPLOAD_BUFFERSIZE, kUploadBufferBytes);
  curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, OnBody);
}

void SetLimits(void* aEasy,
               const UpstreamRequest& aRequest,
               Duration aTimeLeft,
               Duration aMaxConnectionAge,
               bool aForceFreshConnection)
{
  const long maxAgeSeconds = std::max<long>(1, aMaxConnectionAge / std::chrono::seconds(1));
  const bool useFreshConnection = aRequest.freshConnection || aForceFreshConnection;
  curl_easy_setopt(aEasy, CURLOPT_TIMEOUT_MS, ToMilliseconds(aTimeLeft));
  curl_easy_setopt(
    aEasy, CURLOPT_CONNECTTIMEOUT_MS, ToMilliseconds(std::min(aTimeLeft, aRequest.connectTimeout)));
  curl_easy_setopt(aEasy, CURLOPT_FRESH_CONNECT, useFreshConnection ? 1L : 0L);
  curl_easy_setopt(aEasy, CURLOPT_FORBID_REUSE, aRequest.freshConnection ? 1L : 0L);
  curl_easy_setopt(aEasy, CURLOPT_MAXAGE_CONN, maxAgeSeconds);
  curl_easy_setopt(aEasy, CURLOPT_MAXLIFETIME_CONN, maxAgeSeconds);
}

UpstreamFailure ClassifyFailure(int aCode,
                                const ResponseReader& aResponse,
                                std::string_view aErrorText,
                                bool aMaybeSent,
                                bool aDeadlinePassed)
{
  if (aResponse.Failure() != ResponseReader::Problem::None) {
    return aResponse.Failure() == ResponseReader::Problem::TooLarge ? UpstreamFailure::TooLarge
                                                                    : UpstreamFailure::Protocol;
  }
  switch (aCode) {
    case CURLE_OPERATION_TIMEDOUT:
      return aMaybeSent || aDeadlinePassed ? UpstreamFailure::Timeout : UpstreamFailure::Connect;
    case CURLE_COULDNT_CONNECT:
      return aMaybeSent ? UpstreamFailure::Reset : UpstreamFailure::Connect;
    case CURLE_OUT_OF_MEMORY: // curl also returns this for a header line that exceeds its limit.
      return UpstreamFailure::TooLarge;
    case CURLE_OK:
    case CURLE_PARTIAL_FILE:
    case CURLE_GOT_NOTHING:
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
      if (aErrorText.find("chunked-encoding") != std::string_view::npos) {
        return UpstreamFailure::Protocol;
      }
      return aResponse.IsHeadComplete() ? UpstreamFailure::Truncated : UpstreamFailure::Reset;
    default:
      return aMaybeSent ? UpstreamFailure::Protocol : UpstreamFailure::Connect;
  }
}

curl_slist* SetRequest(void* aEasy, const UpstreamRequest& aRequest, ResponseReader& aResponse)
{
  curl_slist* headers = BuildHeaderList(aRequest);
  curl_easy_setopt(aEasy, CURLOPT_HEADERDATA, &aResponse);
  curl_easy_setopt(aEasy, CURLOPT_WRITEDATA, &aResponse);
  curl_easy_setopt(aEasy, CURLOPT_URL, MakeUrl(aRequest).c_str());
  curl_easy_setopt(aEasy, CURLOPT_REQUEST_TARGET, aRequest.target.c_str());
  curl_easy_setopt(aEasy, CURLOPT_HTTPHEADER, headers);
  SetMethod(aEasy, aRequest);
  return headers;
}

} // namespace bg::detail
