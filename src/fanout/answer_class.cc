#include "peridotfork/fanout/answer_class.h"

#include <algorithm>
#include <array>

namespace peridotfork {
namespace {

// 408, 421, 429 and 503 by the platform's pages; 425 by its definition.
constexpr std::array kPromises = {408U, 421U, 425U, 429U, 503U};

}  // namespace

bool PromisesNotRun(unsigned status) {
  return std::ranges::find(kPromises, status) != kPromises.end();
}

AnswerClass ClassifyAnswer(const AnswerFacts& facts) {
  if (facts.not_run) {
    return AnswerClass::kNotRun;
  }
  if (!facts.idempotent && PromisesNotRun(facts.status)) {
    return AnswerClass::kFailureNotPassedOn;
  }
  if (facts.transformed || !facts.has_signature) {
    return AnswerClass::kFailureNotPassedOn;
  }
  const bool success = facts.status >= 200 && facts.status < 300;
  // Redirects and client errors are final for a single target; server errors may be retried.
  const bool final_failure = !facts.gather && facts.status >= 300 && facts.status < 500;
  return success || final_failure ? AnswerClass::kUsable : AnswerClass::kFailure;
}

}  // namespace peridotfork
