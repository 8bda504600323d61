/* Parts of a proxied message: the body buffer and the header list. */
#include <deque>
#include <random>
#include <string>

#include <gtest/gtest.h>

extern "C"
{
#include "node/caller/header_list.h"
#include "node/caller/stream_buffer.h"
}

/* Compares the buffer with an unbounded queue: it must return the same bytes
   in the same order, never hold more than its bound, and rewind only if no
   byte has been discarded. */
TEST (StreamBufferTest, MatchesAnUnboundedQueue)
{
  std::mt19937 random (5);
  for (int round = 0; round < 100; round++)
    {
      const bool keep = round % 2 == 0;
      stream_buffer buffer;
      stream_buffer_init (&buffer, 5000, keep);
      std::deque<char> queue;
      std::string sent;
      size_t taken_total = 0;
      for (int step = 0; step < 200; step++)
        {
          char data[2048];
          const size_t size = random () % sizeof data;
          if (random () % 2 == 0)
            {
              for (size_t i = 0; i < size; i++)
                data[i] = (char)random ();
              const size_t in = stream_buffer_append (&buffer, data, size);
              EXPECT_EQ (in, std::min (size, 5000 - queue.size ()));
              queue.insert (queue.end (), data, data + in);
              sent.append (data, in);
            }
          else
            {
              const size_t out = stream_buffer_read (&buffer, data, size);
              EXPECT_EQ (out, std::min (size, queue.size ()));
              EXPECT_TRUE (std::equal (data, data + out, queue.begin ()));
              queue.erase (queue.begin (), queue.begin () + (long)out);
              taken_total += out;
            }
          EXPECT_EQ (stream_buffer_pending_bytes (&buffer), queue.size ());
          EXPECT_LE (buffer.size_bytes, 5000u);
        }
      EXPECT_EQ (buffer.start_discarded,
                 sent.size () > 5000 || (!keep && taken_total))
          << sent.size ();
      if (stream_buffer_rewind (&buffer))
        {
          std::string again (sent.size (), ' ');
          EXPECT_EQ (
              stream_buffer_read (&buffer, again.data (), again.size ()),
              sent.size ());
          EXPECT_EQ (again, sent);
        }
      stream_buffer_release (&buffer);
    }
}

static void
add (header_list *list, const std::string &name, const std::string &value)
{
  EXPECT_EQ (header_list_add (list, name.data (), name.size (), value.data (),
                              value.size ()),
             STATUS_OK);
}

TEST (HeaderListTest, HopByHopFieldsAndThoseListedInConnectionAreRemoved)
{
  header_list list = {};
  add (&list, "connection", "close, X-One");
  add (&list, "X-One", "1");
  add (&list, "Connection", "x-two");
  add (&list, "X-Two", "2");
  add (&list, "x-one", "again");
  add (&list, "Transfer-Encoding", "chunked");
  add (&list, "X-Three", "3");
  header_list_remove_hop_by_hop (&list);
  ASSERT_EQ (list.count, 1u);
  EXPECT_STREQ (header_list_name (&list, 0), "X-Three");
  EXPECT_STREQ (header_list_find (&list, "x-three"), "3");
  header_list_release (&list);
}

TEST (HeaderListTest, SizeIsBounded)
{
  header_list list = {};
  const std::string value (1000, 'x');
  enum status status = STATUS_OK;
  for (int i = 0; i < 1000 && status == STATUS_OK; i++)
    status = header_list_add (&list, "X", 1, value.data (), value.size ());
  EXPECT_EQ (status, STATUS_LIMIT);
  EXPECT_LE (list.used_bytes, 64u * 1024);
  header_list_release (&list);
}
