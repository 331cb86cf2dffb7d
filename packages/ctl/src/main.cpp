#include <iostream>
#include <thread>

#include "boragegauge/ctl.h"

int main(int argc, char** argv)
{
  bg::ctl::CtlInit init;
  init.connect = bg::ctl::Connect;
  init.out = &std::cout;
  init.err = &std::cerr;
  init.in = &std::cin;
  init.pause = [](bg::Milliseconds aTime) { std::this_thread::sleep_for(aTime); };
  return bg::ctl::RunCtl(init, { argv, static_cast<size_t>(argc) });
}
