#include "peridotfork/entry/entry.h"

int main(int argc, char** argv) {
  return peridotfork::RunDaemon<peridotfork::EntrySettings, peridotfork::Entry>(
      argc, argv,
      {"peridotfork-entry",
       "Answers callers: fans queries out to all groups of a service and merges the answers.",
       "entry"});
}
