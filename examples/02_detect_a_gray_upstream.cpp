// Feeds outcomes of real work to the detector of one proxy: one upstream fails every second
// request. Time is an argument, so that the example needs no clock and gives the same result.
//
//   example_02 examples/taller

#include <cstdio>

#include "boragegauge/detection.h"

int main(int argc, char** argv)
{
  const bg::ConfigurationReport report =
    bg::LoadConfigurationFolder(argc > 1 ? argv[1] : "examples/taller");
  if (!report.configuration) {
    std::fprintf(stderr, "the folder is not valid\n");
    return 1;
  }
  bg::detection::LocalDetector detector;
  detector.Configure(*report.configuration);
  const bg::ServiceConfig& service = report.configuration->services.front();
  const bg::UpstreamHandle gray = service.upstreams[6];

  bg::TimePoint now{ std::chrono::hours(1) };
  for (int request = 0; request < 20000; ++request) {
    now += bg::Milliseconds(1);
    const bg::UpstreamHandle upstream = service.upstreams[request % service.upstreams.size()];
    const bool isFailing = upstream == gray && request > 10000 && request % 2 == 0;
    detector.Observe(upstream,
                     isFailing ? bg::detection::OutcomeClass::Failed
                               : bg::detection::OutcomeClass::Good,
                     bg::Milliseconds(20),
                     now);
    for (const bg::detection::Verdict& verdict : detector.TakeVerdicts()) {
      std::printf("request %d: %s %s\n",
                  request,
                  verdict.avoid ? "avoid" : "clear",
                  report.configuration->upstreams[verdict.upstream.idx].id.c_str());
    }
  }
  std::printf("avoided at the end: %s\n", detector.IsAvoided(gray) ? "yes" : "no");
  return 0;
}
