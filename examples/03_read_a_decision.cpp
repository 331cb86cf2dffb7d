// Reads decision records, one JSON object a line, and prints them as sentences.
//
//   example_03 < records.jsonl

#include <cstdio>
#include <iostream>
#include <string>

#include "boragegauge/records.h"

int main()
{
  std::string line;
  while (std::getline(std::cin, line)) {
    const auto record = bg::DecodeRecord(line);
    if (record) {
      std::printf("%s\n", bg::Describe(*record).c_str());
    } else {
      std::printf("%s\n", bg::ToString(record.Failure()).c_str());
    }
  }
  return 0;
}
