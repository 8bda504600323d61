#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "wire/peer/frame.h"
#include "wire/peer/msgpack_check.h"
#include "wire/peer/peer_message.h"
}

namespace
{
std::string
encode (const peer_message &message)
{
  size_t size;
  char *bytes = peer_message_encode (&message, &size);
  const std::string text (bytes, size);
  free (bytes);
  return text;
}

/* A message of each type, with all relevant fields set. */
struct samples
{
  samples ()
  {
    for (int type = PEER_HELLO; type < PEER_TYPE_END; type++)
      all.push_back (make ((peer_type)type));
  }

  peer_message
  make (peer_type type)
  {
    peer_message m = {};
    m.type = type;
    switch (type)
      {
      case PEER_HELLO:
        strcpy (m.hello.name, "h1");
        strcpy (m.hello.dc, "north-a");
        strcpy (m.hello.peer_address, "127.0.0.1:7000");
        m.hello.incarnation = 1ull << 63;
        m.hello.capacity = 1250;
        memset (m.hello.nonce, 7, sizeof m.hello.nonce);
        break;
      case PEER_PROOF:
        memset (m.proof.mac, 9, sizeof m.proof.mac);
        break;
      case PEER_HEARTBEAT:
      case PEER_HEARTBEAT_ACK:
        m.heartbeat = { 77, 1234, true, true, 1ull << 60, 12, 900 };
        break;
      case PEER_INDIRECT_CHECK:
      case PEER_INDIRECT_RESULT:
        m.indirect = { 5, true };
        break;
      case PEER_MEMBERS:
        update.host_key = 3;
        update.state = 2;
        strcpy (update.name, "h2");
        m.members = { &update, 1 };
        break;
      case PEER_SETTINGS_DIGEST:
        m.digest = { true, 99, buckets, PEER_BUCKETS_MAX };
        break;
      case PEER_SETTINGS_OFFER:
      case PEER_SETTINGS_PULL:
        m.settings = { entries, 2 };
        break;
      case PEER_SETTINGS_PUSH:
        strcpy (m.push.kind, "service");
        strcpy (m.push.name, "holds");
        m.push.version = 12;
        m.push.value = value;
        break;
      case PEER_IN_FORCE_REQUEST:
      case PEER_IN_FORCE_ANSWER:
        m.in_force.request_id = 4;
        strcpy (m.in_force.service, "holds");
        m.in_force.version = 8;
        break;
      default:
        strcpy (m.report.service, "holds");
        m.report.epoch = 6;
        m.report.columns = 2;
        m.report.values = values;
        m.report.value_count = 4;
        m.report.names = names;
        m.report.name_count = 2;
      }
    return m;
  }

  peer_member_update update = {};
  uint64_t buckets[PEER_BUCKETS_MAX] = { 1, 2, 3 };
  peer_settings_entry entries[2] = { { 1, 2 }, { 1ull << 63, 4 } };
  char value[12] = "{\"a\": true}";
  int64_t values[4] = { -5, INT64_MAX, INT64_MIN, 0 };
  char names[2][PEER_NAME_SIZE] = { "t1", "t2" };
  std::vector<peer_message> all;
};
}

TEST (PeerMessage, EachTypeDecodesToItself)
{
  samples s;
  for (const auto &message : s.all)
    {
      const std::string bytes = encode (message);
      peer_message decoded;
      ASSERT_EQ (peer_message_decode (bytes.data (), bytes.size (), &decoded),
                 STATUS_OK)
          << peer_type_name (message.type);
      EXPECT_EQ (decoded.type, message.type);
      EXPECT_EQ (encode (decoded), bytes);
      peer_message_release (&decoded);
    }
}

/* Truncated or corrupted messages and input of foreign programs must be
   refused completely: a crash would take a host out of service, and a partly
   decoded message could activate wrong settings. */
TEST (PeerMessage, TruncatedAndInvalidMessagesAreRefused)
{
  samples s;
  rng random;
  rng_seed (&random, 51);
  int refused = 0;
  for (const auto &message : s.all)
    {
      const std::string bytes = encode (message);
      peer_message decoded;
      for (size_t cut = 0; cut < bytes.size (); cut++)
        ASSERT_EQ (peer_message_decode (bytes.data (), cut, &decoded),
                   STATUS_INVALID);
      const std::string longer = bytes + '\0';
      ASSERT_EQ (
          peer_message_decode (longer.data (), longer.size (), &decoded),
          STATUS_INVALID);
      for (int round = 0; round < 4000; round++)
        {
          std::string bad = bytes;
          for (uint64_t n = 0; n <= rng_below (&random, 4); n++)
            bad[rng_below (&random, bad.size ())] = (char)rng_next (&random);
          if (peer_message_decode (bad.data (), bad.size (), &decoded)
              != STATUS_OK)
            refused++;
          else
            peer_message_release (&decoded);
        }
    }
  EXPECT_GT (refused, 10000);
  for (int round = 0; round < 100000; round++)
    {
      char bytes[64];
      const size_t size = 1 + rng_below (&random, sizeof bytes);
      for (size_t i = 0; i < size; i++)
        bytes[i] = (char)rng_next (&random);
      peer_message decoded;
      if (peer_message_decode (bytes, size, &decoded) == STATUS_OK)
        peer_message_release (&decoded);
    }
}

/* Five bytes can claim an array of four thousand million elements, which the
   codec would allocate before it reads the first one. */
TEST (PeerMessage, ASizeBeyondTheInputIsRefusedBeforeAllocation)
{
  const char claims[][9]
      = { "\xdd\xff\xff\xff\xf0", "\xdf\x10\xff\xff\xff",
          "\x91\xdd\x01\xff\xff\xff", "\xc6\xff\xff\xff\xff" };
  for (const auto &claim : claims)
    EXPECT_FALSE (msgpack_sizes_valid (claim, strlen (claim)));
  samples s;
  for (const auto &message : s.all)
    {
      const std::string bytes = encode (message);
      EXPECT_TRUE (msgpack_sizes_valid (bytes.data (), bytes.size ()));
    }
}

TEST (PeerMessage, AnIncompleteRowIsRefused)
{
  samples s;
  peer_message message = s.make (PEER_EVIDENCE);
  message.report.value_count = 3;
  const std::string bytes = encode (message);
  peer_message decoded;
  EXPECT_EQ (peer_message_decode (bytes.data (), bytes.size (), &decoded),
             STATUS_INVALID);
}

TEST (Frame, IsReassembledFromPiecesOfAnySize)
{
  rng random;
  rng_seed (&random, 52);
  for (int round = 0; round < 300; round++)
    {
      peer_buffer sent = {}, received = {};
      std::vector<std::string> texts;
      for (int i = 0; i < 10; i++)
        {
          texts.push_back (
              std::string (1 + rng_below (&random, 3000), 'a' + i));
          frame_append (&sent, texts.back ().data (), texts.back ().size ());
        }
      size_t next = 0;
      while (peer_buffer_size (&sent) > 0)
        {
          const size_t piece = std::min<size_t> (1 + rng_below (&random, 900),
                                                 peer_buffer_size (&sent));
          peer_buffer_append (&received, sent.bytes + sent.begin, piece);
          peer_buffer_consume (&sent, piece);
          const char *payload;
          size_t size;
          while (frame_peek (&received, &payload, &size) == STATUS_OK)
            {
              ASSERT_EQ (std::string (payload, size), texts[next++]);
              peer_buffer_consume (&received, FRAME_HEADER_BYTES + size);
            }
        }
      ASSERT_EQ (next, texts.size ());
      peer_buffer_release (&sent);
      peer_buffer_release (&received);
    }
}

TEST (Frame, EmptyAndOversizedFramesAreRefused)
{
  const char heads[][5] = { { 0, 0, 0, 0, 0 }, "\x7f\xff\xff\xff", "GET " };
  for (const auto &head : heads)
    {
      peer_buffer buffer = {};
      const char *payload;
      size_t size;
      peer_buffer_append (&buffer, head, FRAME_HEADER_BYTES);
      EXPECT_EQ (frame_peek (&buffer, &payload, &size), STATUS_INVALID);
      peer_buffer_release (&buffer);
    }
}
