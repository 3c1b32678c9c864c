#include "peridotfork/dispatcher/dispatcher.h"

int main(int argc, char** argv) {
  return peridotfork::RunDaemon<peridotfork::DispatcherSettings, peridotfork::Dispatcher>(
      argc, argv,
      {"peridotfork-dispatcher",
       "Runs attempts on the targets that this host owns, within their slots and connections.",
       "dispatcher"});
}
