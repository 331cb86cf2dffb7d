#include "boragegauge/proxy.h"

int main(int argc, char** argv)
{
  return bg::RunProxy(argc, argv);
}
