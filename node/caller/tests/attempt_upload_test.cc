/* Uploads of requests whose attempt is given up. */
#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "node/caller/exchange.h"
#include "node/caller/exchange_attempt.h"
}

namespace
{

constexpr size_t capacity = 64;
const std::string beginning (40, 'b'), rest (40, 'r');

/* Guards against a request that is queued again, and then sent without the
   beginning of its body because the rest took its place. */
TEST (AttemptUpload, KeepsItsBeginningWhileTheRequestIsQueuedAgain)
{
  exchange x = {};
  std::string sent (beginning.size (), '\0');
  stream_buffer_init (&x.upload, capacity, true);
  stream_buffer_append (&x.upload, beginning.data (), beginning.size ());
  stream_buffer_read (&x.upload, &sent[0], sent.size ());
  ASSERT_EQ (sent, beginning);
  x.state = EXCHANGE_SENT;
  exchange_cancel_attempt (&x, ATTEMPT_TIMED_OUT);
  EXPECT_EQ (x.state, EXCHANGE_WAITING);
  const size_t accepted
      = stream_buffer_append (&x.upload, rest.data (), rest.size ());
  EXPECT_EQ (accepted, capacity - beginning.size ());
  EXPECT_TRUE (stream_buffer_rewind (&x.upload));
  EXPECT_EQ (stream_buffer_read (&x.upload, &sent[0], sent.size ()),
             beginning.size ());
  EXPECT_EQ (sent, beginning);
  stream_buffer_release (&x.upload);
}

} // namespace
