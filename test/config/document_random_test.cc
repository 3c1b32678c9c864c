#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/sample_document.h"
#include "peridotfork/config/settings.h"

namespace peridotfork {
namespace {

using Random = std::mt19937_64;

std::size_t Below(Random& random, std::size_t limit) {
  return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

// Corrupts a text as an editor, a transfer or a merge might.
std::string Mutate(Random& random, std::string text) {
  constexpr std::string_view bytes("[]=;#/\n\r\t \0\x01.%a0", 16);
  const std::size_t at = Below(random, text.size());
  const std::size_t length = 1 + Below(random, 40);
  switch (Below(random, 6)) {
    case 0:
      text[at] = bytes[Below(random, bytes.size())];
      break;
    case 1:
      text.insert(at, 1, bytes[Below(random, bytes.size())]);
      break;
    case 2:
      text.erase(at, 1 + Below(random, 3));
      break;
    case 3:
      text.erase(at, length);
      break;
    case 4:
      text.insert(Below(random, text.size()), text.substr(at, length));
      break;
    default:
      text.insert(at, 250, 'x');
      break;
  }
  return text;
}

bool HasHeader(const std::string& text, const std::string& name) {
  return ("\n" + text).find("\n[" + name + "]\n") != std::string::npos;
}

// Whether the document contains the whole section, followed by another header or
// the end of the text.
bool ContainsWholeSection(const std::string& text, const std::string& section) {
  const std::size_t at = ("\n" + text).find("\n" + section);
  const std::size_t end = at + section.size();
  return at != std::string::npos && (end == text.size() || text[end] == '[');
}

// Guards against a fault in one section that removes another one from force.
TEST_CASE("no mutation of a document crashes the store or loses a valid section") {
  const SectionTexts sections = SampleSections();
  int accepted = 0;
  int refused_sections = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    ManualClock clock;
    DocumentStore store(clock);
    REQUIRE(store.Apply(Revision(1), Joined(sections)));
    std::string text = Joined(sections);
    for (std::size_t i = 0; i <= Below(random, 3); ++i) {
      text = Mutate(random, std::move(text));
    }
    CAPTURE(text);
    const auto report = store.Apply(Revision(2), text);
    accepted += report ? 1 : 0;
    refused_sections += report ? static_cast<int>(report.value().refused.size()) : 0;
    const std::vector<std::string> names = store.all_names();
    const std::vector<SectionText> all = store.SectionsNotIn({});
    for (const auto& entry : sections) {
      const std::string& name = entry.first;
      const std::string& section = entry.second;
      CAPTURE(name);
      const bool in_force = std::find(names.begin(), names.end(), name) != names.end();
      CHECK((in_force || !HasHeader(text, name)));
      // A comment that the mutation placed above the header belongs to the
      // section.
      const auto has_text = [&section](const SectionText& found) {
        return found.text.ends_with(section);
      };
      CHECK(
          (!ContainsWholeSection(text, section) || std::any_of(all.begin(), all.end(), has_text)));
    }
  }
  // The mutations must produce both accepted documents and refused sections.
  CHECK(accepted > 1000);
  CHECK(refused_sections > 1000);
}

TEST_CASE("no mutation of a settings text crashes the reader") {
  const std::string good =
      "[host]\nid = h1\ndata_centre = hartford\naddress = 127.0.0.1:9000\n[http]\n"
      "address = 127.0.0.1:8000\n[platform]\naddress = 127.0.0.1:7000\n[lease]\nlength = 3s\n";
  REQUIRE(ParseSettings<AgentSettings>(good));
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    const auto parsed = ParseSettings<AgentSettings>(Mutate(random, good));
    if (parsed) {
      CHECK(ParseSettings<AgentSettings>(ToIni(parsed.value())));
    } else {
      CHECK_FALSE(parsed.error().empty());
    }
  }
}

// Returns one of several texts for a section. Some are invalid, and some groups
// claim or move each other's targets. An empty text omits the section.
std::string RandomText(Random& random, const std::string& name, const std::string& text) {
  const std::string number = std::to_string(1 + Below(random, 9));
  switch (Below(random, 12)) {
    case 0:
      return {};
    case 1:
      return "[" + name + "]\nnonsense = " + number + "\n";
    case 2:
      return name + "]\n" + text.substr(text.find('\n') + 1);
    case 3:
    case 4:
    case 5:
      break;
    default:
      return text;
  }
  if (name.rfind("caller", 0) == 0) {
    return "[" + name + "]\nrate = " + number + "/s\nin_flight = 1\n";
  }
  if (name.rfind("group", 0) == 0) {
    const char* const place = Below(random, 4) == 0 ? " hartford\n" : " concord\n";
    return text + "target.extra-" + number + " = 127.0.0.1:" + number + place;
  }
  if (name == "fleet") {
    return text + "callers = clerk-desk\n";
  }
  return text + "# " + number + "\n";
}

std::string RandomDocument(Random& random) {
  SectionTexts sections = SampleSections();
  for (const char* index : {"2", "3"}) {
    const std::string name = "group hearing-desk/" + std::string(index);
    sections[name] = "[" + name + "]\n";
  }
  std::vector<std::string> texts;
  for (const auto& [name, text] : sections) {
    texts.push_back(RandomText(random, name, text));
  }
  std::shuffle(texts.begin(), texts.end(), random);
  std::string document;
  for (const std::string& text : texts) {
    document += text;
  }
  return document;
}

using Stores = std::vector<std::unique_ptr<DocumentStore>>;

// Each store applies the document, pulls from another store or misses the
// revision. No store's revision decreases.
void Propagate(Random& random, Revision revision, const std::string& text, const Stores& stores) {
  for (const auto& store : stores) {
    const Revision before = store->revision();
    const DocumentStore& other = *stores[Below(random, stores.size())];
    switch (Below(random, 3)) {
      case 0:
        static_cast<void>(store->Apply(revision, text));
        break;
      case 1:
        if (other.revision() >= store->revision() && other.document()) {
          CHECK(Pull(other, store.get()));
        }
        break;
      default:
        break;
    }
    CHECK(store->revision() >= before);
  }
}

// Lets the stores pull from each other as heartbeats would trigger it, until all
// are equal. Returns the number of rounds.
int Converge(Random& random, const Stores& stores) {
  for (int round = 0; round < 40; ++round) {
    bool equal = true;
    for (const auto& to : stores) {
      const DocumentStore& from = *stores[Below(random, stores.size())];
      for (const auto& other : stores) {
        equal = equal && other->digest() == to->digest();
      }
      if (from.revision() >= to->revision() && from.digest() != to->digest()) {
        REQUIRE(Pull(from, to.get()));
      }
    }
    if (equal) {
      return round;
    }
  }
  return 40;
}

// Guards against hosts whose sections differ permanently.
TEST_CASE("stores that received the revisions along different paths converge") {
  int most_rounds = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    ManualClock clock;
    Stores stores;
    for (int i = 0; i < 4; ++i) {
      stores.push_back(std::make_unique<DocumentStore>(clock));
    }
    for (std::uint64_t revision = 1; revision <= 30; ++revision) {
      Propagate(random, Revision(revision), RandomDocument(random), stores);
    }
    const int rounds = Converge(random, stores);
    most_rounds = std::max(most_rounds, rounds);
    REQUIRE(rounds < 40);
    for (const auto& store : stores) {
      REQUIRE(store->document());
      CHECK(*store->document() == *stores.front()->document());
      CHECK(store->versions() == stores.front()->versions());
      std::set<Address> addresses;
      for (const TargetConfig& target : store->document()->targets()) {
        CHECK(addresses.insert(target.address).second);
      }
    }
    // A valid document removes all differences, whether applied or pulled.
    const std::string good = Joined(SampleSections());
    for (std::size_t i = 0; i < stores.size(); ++i) {
      REQUIRE((i % 2 == 0 ? stores[i]->Apply(Revision(31), good)
                          : Pull(*stores[i - 1], stores[i].get())));
      CHECK(stores[i]->refusals().empty());
      CHECK(stores[i]->document()->targets().size() == 6);
    }
  }
  MESSAGE("most rounds until equal: " << most_rounds);
}

}  // namespace
}  // namespace peridotfork
