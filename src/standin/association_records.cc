#include <array>
#include <cstdio>
#include <string>
#include <string_view>

#include "peridotfork/internal/standin/record_generators.h"
#include "peridotfork/internal/standin/record_tables.h"

namespace peridotfork::standin {
namespace {

using nlohmann::json;

constexpr std::array kTowns = {
    Town{"Ashford", "CT", 4200},      Town{"Barkhamsted", "CT", 3650},
    Town{"Bethlehem", "CT", 3380},    Town{"Canterbury", "CT", 5080},
    Town{"Colebrook", "CT", 1360},    Town{"Eastford", "CT", 1650},
    Town{"Goshen", "CT", 3150},       Town{"Haddam", "CT", 8450},
    Town{"Killingworth", "CT", 6170}, Town{"Lisbon", "CT", 4190},
    Town{"Norfolk", "CT", 1580},      Town{"Pomfret", "CT", 4260},
    Town{"Scotland", "CT", 1580},     Town{"Willington", "CT", 5560},
    Town{"Ashby", "MA", 3190},        Town{"Barre", "MA", 5530},
    Town{"Brimfield", "MA", 3690},    Town{"Charlton", "MA", 13300},
    Town{"Colrain", "MA", 1600},      Town{"Granville", "MA", 1530},
    Town{"Hardwick", "MA", 2660},     Town{"Hubbardston", "MA", 4320},
    Town{"New Braintree", "MA", 990}, Town{"Oakham", "MA", 1850},
    Town{"Paxton", "MA", 5000},       Town{"Petersham", "MA", 1190},
    Town{"Princeton", "MA", 3490},    Town{"Royalston", "MA", 1250},
    Town{"Alton", "NH", 5890},        Town{"Antrim", "NH", 2650},
    Town{"Boscawen", "NH", 4000},     Town{"Canaan", "NH", 3790},
    Town{"Deering", "NH", 1900},      Town{"Epsom", "NH", 4830},
    Town{"Gilmanton", "NH", 3940},    Town{"Hopkinton", "NH", 5910},
    Town{"Loudon", "NH", 5570},       Town{"Northwood", "NH", 4640},
    Town{"Sandwich", "NH", 1460},     Town{"Warner", "NH", 2930},
    Town{"Barnet", "VT", 1660},       Town{"Chelsea", "VT", 1230},
    Town{"Corinth", "VT", 1450},      Town{"Peacham", "VT", 710},
    Town{"Appleton", "ME", 1410},     Town{"Bowdoinham", "ME", 3040},
    Town{"Cornish", "ME", 1500},      Town{"Hope", "ME", 1700},
};

constexpr std::array kDistricts = {"General Fund", "Fire District", "Regional School District",
                                   "Highway", "Library"};

constexpr std::array kAgencies = {
    "Department of Transportation",
    "Office of Rural Health",
    "State Library",
    "Department of Environmental Protection",
    "Emergency Management Agency",
    "Housing Finance Authority",
    "Department of Public Safety",
    "Economic Development Administration",
    "Historical Commission",
    "Department of Agriculture",
};

constexpr std::array kGrantPurposes = {
    "culvert replacement on Mill Road",
    "volunteer fire company turnout gear",
    "town hall accessibility ramp",
    "broadband to unserved addresses",
    "library roof and archive storage",
    "senior centre transport van",
    "bridge deck repair",
    "well testing for private households",
    "farmland preservation easement",
    "elementary school boiler",
    "flood plain survey",
    "recreation field drainage",
};

constexpr std::array kForecastLines = {
    "Education",          "Public Works",        "Police",  "Fire and Rescue",
    "Debt Service",       "Insurance",           "Library", "General Government",
    "Health and Welfare", "Parks and Recreation"};

constexpr std::array kReportTitles = {
    "Annual Town Report",         "Auditor's Report",         "Board of Assessors Report",
    "School Committee Report",    "Finance Committee Report", "Highway Superintendent Report",
    "Town Clerk's Vital Records", "Planning Board Report",
};

constexpr std::array kSurnames = {"Abbott",  "Bouchard", "Carleton",  "Desrosiers", "Emerson",
                                  "Fiske",   "Gagnon",   "Holbrook",  "Kimball",    "Lavoie",
                                  "Merrill", "Nadeau",   "Pelletier", "Sawyer",     "Wadsworth"};

json TownFields(const Town& town) {
  return {{"town", town.name}, {"state", town.state}};
}

GeneratedRecord MakeLevy(std::mt19937_64& random,
                         const Town& town,
                         int year,
                         const char* district) {
  const std::int64_t amount = town.population * UniformInteger(random, 180, 3400);
  json fields = TownFields(town);
  fields["kind"] = "levy";
  fields["fiscal_year"] = year;
  fields["district"] = district;
  fields["levy_usd"] = amount;
  fields["rate_per_thousand"] = static_cast<double>(UniformInteger(random, 110, 3250)) / 100;
  fields["adopted"] =
      FormatDate(year - 1, UniformInteger(random, 3, 6), UniformInteger(random, 1, 28));
  return {"levy-" + Slug(town) + "-" + std::to_string(year) + "-" + Slug(district), fields,
          "levy_usd"};
}

}  // namespace

std::vector<GeneratedRecord> MakeLevies(std::mt19937_64& random) {
  std::vector<GeneratedRecord> records;
  for (const Town& town : kTowns) {
    for (int year = 2012; year <= 2026; ++year) {
      for (const char* district : kDistricts) {
        records.push_back(MakeLevy(random, town, year, district));
      }
    }
  }
  return records;
}

std::vector<GeneratedRecord> MakeGrants(std::mt19937_64& random) {
  std::vector<GeneratedRecord> records;
  for (int number = 1; number <= 3000; ++number) {
    const Town& town = Pick(random, kTowns);
    const auto year = UniformInteger(random, 2010, 2026);
    char award[32];
    std::snprintf(award, sizeof(award), "%s-%02d-%05d", town.state, static_cast<int>(year % 100),
                  number);
    json fields = TownFields(town);
    fields["kind"] = "grant";
    fields["award"] = award;
    fields["agency"] = Pick(random, kAgencies);
    fields["purpose"] = Pick(random, kGrantPurposes);
    fields["amount_usd"] = UniformInteger(random, 4, 960) * 500;
    fields["year"] = year;
    // Joint awards are filed under both towns and therefore stored in two groups.
    const bool joint = UniformInteger(random, 1, 12) == 1;
    records.push_back({std::string("grant-") + award, fields, "amount_usd", joint});
  }
  return records;
}

std::vector<GeneratedRecord> MakeForecasts(std::mt19937_64& random) {
  std::vector<GeneratedRecord> records;
  for (const Town& town : kTowns) {
    for (int year = 2025; year <= 2029; ++year) {
      for (const char* line : kForecastLines) {
        json fields = TownFields(town);
        fields["kind"] = "budget forecast";
        fields["fiscal_year"] = year;
        fields["line"] = line;
        fields["forecast_usd"] = town.population * UniformInteger(random, 40, 900);
        fields["growth_percent"] = static_cast<double>(UniformInteger(random, -20, 68)) / 10;
        fields["prepared_by"] = std::string(Pick(random, kSurnames)) + ", Finance Committee";
        records.push_back({"forecast-" + Slug(town) + "-" + std::to_string(year) + "-" + Slug(line),
                           fields, "forecast_usd"});
      }
    }
  }
  return records;
}

std::vector<GeneratedRecord> MakeReports(std::mt19937_64& random) {
  std::vector<GeneratedRecord> records;
  for (const Town& town : kTowns) {
    for (int year = 1978; year <= 2025; ++year) {
      const char* title = Pick(random, kReportTitles);
      json fields = TownFields(town);
      fields["kind"] = "report";
      fields["title"] = title;
      fields["year"] = year;
      fields["author"] = std::string(Pick(random, kSurnames)) + " and " + Pick(random, kSurnames);
      fields["pages"] = UniformInteger(random, 18, 240);
      fields["box"] = "Shelf " + std::to_string(UniformInteger(random, 1, 60)) + ", box " +
                      std::to_string(UniformInteger(random, 1, 24));
      records.push_back({"report-" + Slug(town) + "-" + std::to_string(year) + "-" + Slug(title),
                         fields, "pages"});
    }
  }
  return records;
}

}  // namespace peridotfork::standin
