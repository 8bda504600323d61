#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "base/fingerprint.h"
}

namespace
{
fingerprint
make_fingerprint (const std::string &head, const std::string &body,
                  int64_t body_bytes)
{
  return fingerprint_of (head.data (), head.size (), body.data (),
                         body.size (), body_bytes);
}

/* Different requests must not collide, such as after a byte is moved from the
   body to the head, or with bodies of different lengths and the same prefix.
 */
TEST (Fingerprint, DiffersWithHeadBodyAndLength)
{
  const fingerprint one = make_fingerprint ("GET\na", "b", 1);
  for (const fingerprint &other : { make_fingerprint ("GET\nb", "b", 1),
                                    make_fingerprint ("GET\na", "c", 1),
                                    make_fingerprint ("GET\na", "b", 2),
                                    make_fingerprint ("GET\na", "b", -1),
                                    make_fingerprint ("GET\nab", "", 0) })
    EXPECT_FALSE (fingerprint_equal (&one, &other));
}

/* If the algorithm changed, fingerprints would differ between hosts that run
   different versions. */
TEST (Fingerprint, ValueIsStable)
{
  const fingerprint one = make_fingerprint ("GET\na", "b", 1);
  char text[FINGERPRINT_TEXT_SIZE];
  fingerprint_format (&one, text);
  EXPECT_STREQ (text, "73bd6a718cbe2488943d058f049deb0f");
  EXPECT_EQ (one.head_hash, fingerprint_head_hash ("GET\na", 5));
}
} // namespace
