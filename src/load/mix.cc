#include "peridotfork/load/mix.h"

namespace peridotfork::load {
namespace {

const Mix& AssociationMix() {
  static const Mix mix = {
      {"clerk-desk", "hearing-desk", 5, {"levy 2026", "general fund", "highway 2025", "school"}},
      {"member-portal-web", "member-portal", 4, {"library", "farmland", "roof 2024", "police"}},
      {"archive-reader", "history-archive", 1, {"budget 2020", "forecast"}},
  };
  return mix;
}

const Mix& RoundsMix() {
  static const Mix mix = {
      {"walker-phone", "walker-app", 5, {"gate", "friendly", "drops", "bole"}},
      {"billing-desk", "billing", 3, {"walk", "2026", "paid"}},
      {"owner-app", "owner-portal", 2, {"ate", "bowl", "today"}},
  };
  return mix;
}

}  // namespace

Result<Mix> FindMix(std::string_view name) {
  if (name == "association") {
    return AssociationMix();
  }
  if (name == "rounds") {
    return RoundsMix();
  }
  for (const Mix* mix : {&AssociationMix(), &RoundsMix()}) {
    for (const MixEntry& entry : *mix) {
      if (entry.service == name) {
        return Mix{entry};
      }
    }
  }
  return MakeError(ErrorKind::kUnknownName, "mix " + std::string(name),
                   "expected association, rounds or the name of a service of one of them");
}

}  // namespace peridotfork::load
