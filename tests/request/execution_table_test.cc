#include "berylbarrow/request/execution/execution_table.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

struct fixture {
  manual_clock clock;
  execution_table table{{.max_records = 4, .max_answer_bytes = 8, .max_total_bytes = 12}};

  static dispatch Work(std::uint64_t sequence, const std::string& key = "") {
    return {.id = {.sender = 1, .sequence = sequence},
            .idempotent = key.empty(),
            .idempotency_key = key};
  }
  execution_record& Add(std::uint64_t sequence, const std::string& key = "") {
    BOOST_TEST_REQUIRE(table.MakeRoom(0));
    execution_record& record = table.Add(Work(sequence, key), key.empty() ? 0 : 1, clock.Now());
    table.Attach(record, Work(sequence, key), 1, clock.Now());
    return record;
  }
  void Finish(execution_record& record) {
    table.End(record, execution_state::kFinished, clock.Now());
    subscriber& item = record.subscribers.begin()->second;
    item.sent_offset = record.answer.End();
    item.is_end_sent = true;
    table.Acknowledge(record, {.id = record.work.id, .offset = item.sent_offset, .finished = true});
  }
};

// Guards against a key that runs again because its record made room for other work.
BOOST_FIXTURE_TEST_CASE(FullTableKeepsRecordsOfKeys, fixture) {
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    Finish(Add(sequence, "key" + std::to_string(sequence)));
  }
  Finish(Add(4));
  BOOST_TEST(table.MakeRoom(0));
  BOOST_TEST(table.Size() == 3U);
  BOOST_TEST((table.ClosedState(Work(4), 0) == closed_state::kMayHaveRun));
  Add(5);
  BOOST_TEST(!table.MakeRoom(0));
  BOOST_TEST(table.Find(Work(9, "key1")) != nullptr);
}

// Guards against a refused request that a late copy runs after the tombstone is gone.
BOOST_FIXTURE_TEST_CASE(DroppedTombstonesStayClosed, fixture) {
  table.AddTombstone(Work(1), 0, refusal_reason::kOverload, clock.Now(), clock.Now());
  clock.Advance(execution_table::kEndedRecordRetention);
  table.ExpireEndedRecords(clock.Now());
  BOOST_TEST(table.Size() == 0U);
  BOOST_TEST((table.ClosedState(Work(1), 0) == closed_state::kNotRun));
  BOOST_TEST((table.ClosedState(Work(2), 0) == closed_state::kOpen));
}

// Guards against memory that grows with the answers already taken, and against a stored answer
// that loses its beginning.
BOOST_FIXTURE_TEST_CASE(AcknowledgementsFreeOnlyIdempotentAnswers, fixture) {
  execution_record& draft = Add(1);
  BOOST_TEST(table.Append(draft, "12345678"));
  BOOST_TEST(!table.Append(draft, "9"));
  draft.subscribers.begin()->second.sent_offset = 8;
  table.Acknowledge(draft, {.id = draft.work.id, .offset = 6});
  BOOST_TEST(table.BufferedBytes() == 2U);
  BOOST_TEST(draft.answer.Read(6, 100) == "78");
  execution_record& payment = Add(2, "key");
  BOOST_TEST(table.Append(payment, "paid"));
  payment.subscribers.begin()->second.sent_offset = 4;
  table.Acknowledge(payment, {.id = payment.work.id, .offset = 4});
  BOOST_TEST(payment.answer.Read(0, 100) == "paid");
}

// Guards against a stored answer that is given up together with the record of its key.
BOOST_FIXTURE_TEST_CASE(StoredAnswersMakeRoomForRunningOnes, fixture) {
  execution_record& payment = Add(1, "key");
  BOOST_TEST(table.Append(payment, "12345678"));
  Finish(payment);
  execution_record& draft = Add(2);
  BOOST_TEST(table.Append(draft, "12345678"));
  BOOST_TEST((table.Find(Work(3, "key"))->state == execution_state::kUnknown));
  BOOST_TEST(table.BufferedBytes() == 8U);
}

// Guards against records of keys that go before their epoch, or while their entry may resend.
BOOST_FIXTURE_TEST_CASE(RecordsOfKeysLiveUntilTheirEpochIsOver, fixture) {
  execution_record& record = Add(1, "key");
  dispatch longer = Work(2, "key");
  longer.remaining = std::chrono::minutes(1);
  table.Attach(record, longer, 1, clock.Now());
  table.ExpireEpochs(2, clock.Now());
  BOOST_TEST(table.Size() == 1U);
  Finish(record);
  table.ExpireEpochs(1, clock.Now() + std::chrono::minutes(2));
  table.ExpireEpochs(2, clock.Now());
  BOOST_TEST(table.Size() == 1U);
  table.ExpireEpochs(2, clock.Now() + std::chrono::minutes(2));
  BOOST_TEST(table.Size() == 0U);
  BOOST_TEST(table.Find(Work(2, "key")) == nullptr);
}

}  // namespace
}  // namespace berylbarrow
