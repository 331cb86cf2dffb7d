#include <iostream>

#include "boragegauge/ctl.h"

int main(int argc, char** argv)
{
  return bg::ctl::RunCtl({ bg::ctl::Connect, &std::cout, &std::cerr },
                         { argv, static_cast<size_t>(argc) });
}
