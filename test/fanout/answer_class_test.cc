#include "peridotfork/fanout/answer_class.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace peridotfork {
namespace {

struct Row {
  unsigned status;
  bool not_run;
  bool has_signature;
  AnswerClass idempotent;
  AnswerClass at_most_once;
  AnswerClass gather;
};

constexpr auto kUsable = AnswerClass::kUsable;
constexpr auto kNotRun = AnswerClass::kNotRun;
constexpr auto kFailure = AnswerClass::kFailure;
constexpr auto kReplaced = AnswerClass::kFailureNotPassedOn;

// The table of docs/callers.md.
constexpr Row kRows[] = {
    {200, false, true, kUsable, kUsable, kUsable},
    {204, false, true, kUsable, kUsable, kUsable},
    {200, false, false, kReplaced, kReplaced, kReplaced},
    {302, false, true, kUsable, kUsable, kFailure},
    {404, false, true, kUsable, kUsable, kFailure},
    {404, false, false, kReplaced, kReplaced, kReplaced},
    {408, false, true, kUsable, kReplaced, kFailure},
    {408, true, false, kNotRun, kNotRun, kNotRun},
    {421, false, true, kUsable, kReplaced, kFailure},
    {421, true, false, kNotRun, kNotRun, kNotRun},
    {425, false, true, kUsable, kReplaced, kFailure},
    {425, true, true, kNotRun, kNotRun, kNotRun},
    {429, false, true, kUsable, kReplaced, kFailure},
    {429, false, false, kReplaced, kReplaced, kReplaced},
    {429, true, false, kNotRun, kNotRun, kNotRun},
    {500, false, true, kFailure, kFailure, kFailure},
    {500, false, false, kReplaced, kReplaced, kReplaced},
    {503, false, true, kFailure, kReplaced, kFailure},
    {503, false, false, kReplaced, kReplaced, kReplaced},
    {503, true, false, kNotRun, kNotRun, kNotRun},
    {503, true, true, kNotRun, kNotRun, kNotRun},
    {504, false, true, kFailure, kFailure, kFailure},
};

// Guards against a caller that repeats a request because a status says that it has not run.
TEST_CASE("each answer of a target is used as the table of the documentation says") {
  for (const Row& row : kRows) {
    CAPTURE(row.status);
    CAPTURE(row.not_run);
    CAPTURE(row.has_signature);
    AnswerFacts facts;
    facts.status = row.status;
    facts.not_run = row.not_run;
    facts.has_signature = row.has_signature;
    CHECK(ClassifyAnswer(facts) == row.idempotent);
    facts.gather = true;
    CHECK(ClassifyAnswer(facts) == row.gather);
    facts.gather = false;
    facts.idempotent = false;
    CHECK(ClassifyAnswer(facts) == row.at_most_once);
  }
}

TEST_CASE("an answer with a transformed body is never passed on") {
  for (const unsigned status : {200U, 404U, 500U}) {
    CHECK(ClassifyAnswer({.status = status, .has_signature = true, .transformed = true}) ==
          kReplaced);
  }
}

}  // namespace
}  // namespace peridotfork
