#include <iostream>

#include "peridotfork/ctl/program.h"

int main(int argc, char** argv) {
  return peridotfork::ctl::RunProgram(argc, argv, std::cout, std::cerr);
}
