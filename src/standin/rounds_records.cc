#include <array>
#include <cstdio>
#include <string>

#include "peridotfork/internal/standin/record_generators.h"
#include "peridotfork/internal/standin/record_tables.h"

namespace peridotfork::standin {
namespace {

using nlohmann::json;

constexpr std::array kDogNames = {"Buchi",  "Anbessa", "Shiro",  "Nebro", "Bunna", "Mocha",
                                  "Tikur",  "Gobez",   "Dabo",   "Kolo",  "Fenta", "Lucy",
                                  "Simba",  "Chombe",  "Injera", "Wolet", "Zebra", "Berbere",
                                  "Meskel", "Tej",     "Kitfo",  "Jegna", "Adey",  "Rocky"};

constexpr std::array kBreeds = {"Abyssinian sand terrier",
                                "German shepherd",
                                "Boerboel",
                                "Labrador",
                                "Mixed, medium",
                                "Mixed, large",
                                "Rottweiler",
                                "Poodle cross",
                                "Jack Russell",
                                "Rhodesian ridgeback",
                                "Maltese",
                                "Husky"};

constexpr std::array kTemperaments = {
    "calm, pulls near traffic",
    "shy with men, warms up after five minutes",
    "friendly, jumps up",
    "barks at minibuses",
    "do not walk with other males",
    "gentle with children, chases goats",
    "nervous in rain",
    "steady, knows the route",
    "guards food, keep treats away",
    "playful, slips the collar",
};

constexpr std::array kMedicines = {
    "none",
    "none",
    "none",
    "carprofen 50 mg with breakfast",
    "phenobarbital 30 mg at 08:00 and 20:00",
    "ear drops, left ear, evenings",
    "thyroxine 0.4 mg mornings",
    "eye ointment twice a day",
    "fish oil on the food",
    "deworming tablet due on the 1st",
};

constexpr std::array kGates = {
    "green gate sticks, lift and push",
    "side gate sticks in the rain",
    "blue gate, latch on the inside",
    "main gate sticks at the bottom hinge",
    "no gate trouble",
    "ring, the guard opens",
    "brown gate, key turns left",
    "back gate only, front gate is rusted shut",
};

constexpr std::array kSubcities = {"Bole",         "Kirkos",        "Arada",
                                   "Lideta",       "Yeka",          "Gulele",
                                   "Addis Ketema", "Kolfe Keranio", "Nifas Silk-Lafto",
                                   "Akaky Kaliti", "Lemi Kura"};

constexpr std::array kGivenNames = {
    "Abebe", "Almaz",   "Bekele", "Birtukan", "Dawit",    "Eleni",   "Fikirte", "Getachew",
    "Hanna", "Kebede",  "Lemlem", "Meseret",  "Mulugeta", "Nardos",  "Rahel",   "Samrawit",
    "Selam", "Tadesse", "Tigist", "Yonas",    "Worku",    "Zewditu", "Henok",   "Bethlehem"};

constexpr std::array kFatherNames = {"Alemu",       "Assefa",   "Belay",   "Demissie", "Gebre",
                                     "Girma",       "Haile",    "Kassa",   "Lemma",    "Mekonnen",
                                     "Negash",      "Shiferaw", "Tesfaye", "Tefera",   "Wolde",
                                     "Woldemariam", "Yilma",    "Zeleke",  "Desta",    "Abera"};

constexpr std::array kWalkers = {"Biruk Tesfaye",  "Mahlet Girma",   "Natnael Assefa",
                                 "Saba Negash",    "Ermias Kassa",   "Liya Mekonnen",
                                 "Robel Haile",    "Tsion Abera",    "Yared Lemma",
                                 "Hiwot Demissie", "Kaleb Shiferaw", "Meron Zeleke"};

constexpr std::array kRounds = {"early round", "school round", "midday round", "evening round"};

constexpr std::array kWalkNotes = {
    "all well",
    "drank a full bowl afterwards",
    "limping a little on the right front paw",
    "rain, cut short by ten minutes",
    "met another dog at the roundabout, no trouble",
    "owner not at home, key with the guard",
    "refused the stairs at first",
    "ate grass, keep an eye on it",
};

constexpr std::array kBillingItems = {"weekly walks",   "single walk",
                                      "weekend care",   "vet visit accompanied",
                                      "medicine given", "late cancellation"};

constexpr std::array kPaidBy = {"telebirr", "bank transfer", "cash", "not paid yet"};

std::string Person(std::mt19937_64& random) {
  return std::string(Pick(random, kGivenNames)) + " " + Pick(random, kFatherNames);
}

std::string Numbered(const char* prefix, int number) {
  char text[48];
  std::snprintf(text, sizeof(text), "%s-%05d", prefix, number);
  return text;
}

std::string Day2026(std::mt19937_64& random) {
  return FormatDate(2026, UniformInteger(random, 1, 12), UniformInteger(random, 1, 28));
}

}  // namespace

std::vector<GeneratedRecord> MakeDogs(std::mt19937_64& random) {
  std::vector<GeneratedRecord> records;
  for (int number = 1; number <= 2400; ++number) {
    json fields = {{"kind", "dog"},
                   {"name", Pick(random, kDogNames)},
                   {"breed", Pick(random, kBreeds)},
                   {"temperament", Pick(random, kTemperaments)},
                   {"medicines", Pick(random, kMedicines)},
                   {"gate", Pick(random, kGates)},
                   {"owner", Person(random)},
                   {"subcity", Pick(random, kSubcities)},
                   {"house", UniformInteger(random, 1, 980)},
                   {"walks_done", UniformInteger(random, 3, 640)}};
    records.push_back({Numbered("dog", number), fields, "walks_done"});
  }
  return records;
}

std::vector<GeneratedRecord> MakeBillingEntries(std::mt19937_64& random) {
  std::vector<GeneratedRecord> records;
  for (int number = 1; number <= 3600; ++number) {
    json fields = {
        {"kind", "billing entry"},         {"owner", Person(random)},
        {"dog", Pick(random, kDogNames)},  {"item", Pick(random, kBillingItems)},
        {"date", Day2026(random)},         {"amount_birr", UniformInteger(random, 3, 90) * 50},
        {"paid_by", Pick(random, kPaidBy)}};
    records.push_back({Numbered("bill", number), fields, "amount_birr"});
  }
  return records;
}

std::vector<GeneratedRecord> MakeWalks(std::mt19937_64& random) {
  std::vector<GeneratedRecord> records;
  for (int number = 1; number <= 2000; ++number) {
    json fields = {{"kind", "walk"},
                   {"dog", Pick(random, kDogNames)},
                   {"owner", Person(random)},
                   {"walker", Pick(random, kWalkers)},
                   {"subcity", Pick(random, kSubcities)},
                   {"date", Day2026(random)},
                   {"start", FormatTime(UniformInteger(random, 25, 76) * 15)},
                   {"minutes", UniformInteger(random, 4, 14) * 5},
                   {"note", Pick(random, kWalkNotes)}};
    records.push_back({Numbered("walk", number), fields, "minutes"});
  }
  return records;
}

std::vector<GeneratedRecord> MakeRosterSlots(std::mt19937_64& random) {
  std::vector<GeneratedRecord> records;
  for (int number = 1; number <= 1200; ++number) {
    json fields = {{"kind", "roster slot"},
                   {"walker", Pick(random, kWalkers)},
                   {"round", Pick(random, kRounds)},
                   {"subcity", Pick(random, kSubcities)},
                   {"date", Day2026(random)},
                   {"time", FormatTime(UniformInteger(random, 24, 76) * 15)},
                   {"places", UniformInteger(random, 1, 4)}};
    records.push_back({Numbered("slot", number), fields, "places"});
  }
  return records;
}

}  // namespace peridotfork::standin
