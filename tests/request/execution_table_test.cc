#include "berylbarrow/request/execution/execution_table.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

struct fixture {
  manual_clock clock;
  execution_table table{{.max_records = 4, .max_answer_bytes = 8, .max_total_bytes = 12}};

  static dispatch MakeDispatch(std::uint64_t sequence, const std::string& key = "") {
    return {.id = {.sender = 1, .sequence = sequence},
            .idempotent = key.empty(),
            .idempotency_key = key};
  }
  execution_record& AddAttached(std::uint64_t sequence, const std::string& key = "") {
    BOOST_TEST_REQUIRE(table.MakeRoom(0));
    execution_record& record =
        table.Add(MakeDispatch(sequence, key), key.empty() ? 0 : 1, clock.Now());
    table.Attach(record, MakeDispatch(sequence, key), 1, clock.Now());
    return record;
  }
  void FinishAndAcknowledge(execution_record& record) {
    table.End(record, execution_state::kFinished, clock.Now());
    subscriber& item = record.subscribers.begin()->second;
    item.sent_offset = record.answer.End();
    item.is_end_sent = true;
    table.Acknowledge(record, {.id = record.work.id, .offset = item.sent_offset, .finished = true});
  }
};

// Guards against a key that runs a second time because its record was evicted from a full table.
BOOST_FIXTURE_TEST_CASE(FullTableEvictsOnlyIdempotentRecords, fixture) {
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    FinishAndAcknowledge(AddAttached(sequence, "key" + std::to_string(sequence)));
  }
  FinishAndAcknowledge(AddAttached(4));
  BOOST_TEST(table.MakeRoom(0));
  BOOST_TEST(table.Size() == 3U);
  BOOST_TEST((table.ClosedState(MakeDispatch(4), 0) == closed_state::kMayHaveRun));
  AddAttached(5);
  BOOST_TEST(!table.MakeRoom(0));
  BOOST_TEST(table.Find(MakeDispatch(9, "key1")) != nullptr);
}

// Guards against a late copy of a refused request that runs after its tombstone has expired.
BOOST_FIXTURE_TEST_CASE(DroppedTombstonesStillBlockLateCopies, fixture) {
  table.AddTombstone(MakeDispatch(1), 0, refusal_reason::kOverload, clock.Now(), clock.Now());
  clock.Advance(execution_table::kEndedRecordRetention);
  table.ExpireEndedRecords(clock.Now());
  BOOST_TEST(table.Size() == 0U);
  BOOST_TEST((table.ClosedState(MakeDispatch(1), 0) == closed_state::kNotRun));
  BOOST_TEST((table.ClosedState(MakeDispatch(2), 0) == closed_state::kOpen));
}

// Guards against acknowledged bytes of idempotent answers that stay in memory, and against answers
// of keys whose acknowledged bytes are freed although a later copy still needs them.
BOOST_FIXTURE_TEST_CASE(AcknowledgementsFreeOnlyIdempotentAnswers, fixture) {
  execution_record& idempotent_record = AddAttached(1);
  BOOST_TEST(table.Append(idempotent_record, "12345678"));
  BOOST_TEST(!table.Append(idempotent_record, "9"));
  idempotent_record.subscribers.begin()->second.sent_offset = 8;
  table.Acknowledge(idempotent_record, {.id = idempotent_record.work.id, .offset = 6});
  BOOST_TEST(table.BufferedBytes() == 2U);
  BOOST_TEST(idempotent_record.answer.Read(6, 100) == "78");
  execution_record& keyed_record = AddAttached(2, "key");
  BOOST_TEST(table.Append(keyed_record, "paid"));
  keyed_record.subscribers.begin()->second.sent_offset = 4;
  table.Acknowledge(keyed_record, {.id = keyed_record.work.id, .offset = 4});
  BOOST_TEST(keyed_record.answer.Read(0, 100) == "paid");
}

// Guards against losing the record of a key when its stored answer is discarded to free memory.
BOOST_FIXTURE_TEST_CASE(StoredAnswersAreDiscardedForRunningExecutions, fixture) {
  execution_record& keyed_record = AddAttached(1, "key");
  BOOST_TEST(table.Append(keyed_record, "12345678"));
  FinishAndAcknowledge(keyed_record);
  execution_record& idempotent_record = AddAttached(2);
  BOOST_TEST(table.Append(idempotent_record, "12345678"));
  BOOST_TEST((table.Find(MakeDispatch(3, "key"))->state == execution_state::kUnknown));
  BOOST_TEST(table.BufferedBytes() == 8U);
}

// Guards against records of keys that are dropped before their epoch expires, or while an entry may
// still resend the dispatch.
BOOST_FIXTURE_TEST_CASE(KeyedRecordsAreKeptUntilTheirEpochExpires, fixture) {
  execution_record& record = AddAttached(1, "key");
  dispatch longer_dispatch = MakeDispatch(2, "key");
  longer_dispatch.remaining = std::chrono::minutes(1);
  table.Attach(record, longer_dispatch, 1, clock.Now());
  table.ExpireEpochs(2, clock.Now());
  BOOST_TEST(table.Size() == 1U);
  FinishAndAcknowledge(record);
  table.ExpireEpochs(1, clock.Now() + std::chrono::minutes(2));
  table.ExpireEpochs(2, clock.Now());
  BOOST_TEST(table.Size() == 1U);
  table.ExpireEpochs(2, clock.Now() + std::chrono::minutes(2));
  BOOST_TEST(table.Size() == 0U);
  BOOST_TEST(table.Find(MakeDispatch(2, "key")) == nullptr);
}

}  // namespace
}  // namespace berylbarrow
