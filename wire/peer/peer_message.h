/** @file
 * Typed messages between hosts, encoded as MessagePack.
 *
 * On the wire a message is one frame (frame.h) that holds an array: the type
 * number, then the fields in the order of the struct.  Decoding is strict: a
 * wrong type, count or length, a string with an embedded NUL or trailing bytes
 * make the message invalid, and its connection is closed.
 */
#ifndef WIRE_PEER_MESSAGE_H
#define WIRE_PEER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#define PEER_NAME_SIZE 64
#define PEER_ADDRESS_SIZE 56
#define PEER_NONCE_SIZE 16
#define PEER_PROOF_SIZE 32
#define PEER_KIND_SIZE 32

/** Limits of one message, checked when decoding. */
enum peer_limit
{
  PEER_MEMBER_UPDATES_MAX = 64,
  PEER_BUCKETS_MAX = 256,
  PEER_ENTRIES_MAX = 4096,
  PEER_REPORT_VALUES_MAX = 65536,
  PEER_REPORT_NAMES_MAX = 1024,
  PEER_VALUE_MAX_BYTES = 1024 * 1024,
};

/** Message types; the numbers are part of the protocol. */
enum peer_type
{
  PEER_HELLO = 1,
  PEER_PROOF = 2,
  PEER_HEARTBEAT = 3,
  PEER_HEARTBEAT_ACK = 4,
  PEER_INDIRECT_CHECK = 5,
  PEER_INDIRECT_RESULT = 6,
  PEER_MEMBERS = 7,
  PEER_SETTINGS_DIGEST = 8,
  PEER_SETTINGS_OFFER = 9,
  PEER_SETTINGS_PULL = 10,
  PEER_SETTINGS_PUSH = 11,
  PEER_IN_FORCE_REQUEST = 12,
  PEER_IN_FORCE_ANSWER = 13,
  PEER_EVIDENCE = 14,      /**< from an observing host to a service's owner */
  PEER_DECISION = 15,      /**< from a service's owner to observing hosts */
  PEER_DEMAND = 16,        /**< slots requested from a service's owner */
  PEER_OUTCOMES = 17,      /**< outcomes of attempts, to the hosts of a set */
  PEER_QUOTA_REQUEST = 18, /**< requested tokens, lease of a share */
  PEER_QUOTA_GRANT = 19,   /**< a quota coordinator's answer */
  PEER_POISON = 20,        /**< requests that crash targets */
  PEER_LIMITS = 21,        /**< rate limits of targets */
  PEER_TYPE_END
};

/** Identity of the sender; the first message in both directions. */
struct peer_hello
{
  char name[PEER_NAME_SIZE];
  char dc[PEER_NAME_SIZE];
  char peer_address[PEER_ADDRESS_SIZE];
  char caller_address[PEER_ADDRESS_SIZE];
  char operator_address[PEER_ADDRESS_SIZE];
  /** Number of the host's start: the high part grows with time, the low part
   * is random. */
  uint64_t incarnation;
  uint32_t capacity; /**< requests per second that it can serve */
  uint8_t nonce[PEER_NONCE_SIZE];
};

/** Proof that the sender has the shared secret; see peer_auth.h. */
struct peer_proof
{
  uint8_t mac[PEER_PROOF_SIZE]; /**< all zeros if no secret is set */
};

/** A heartbeat, and its acknowledgement, which has the same sequence. */
struct peer_heartbeat
{
  uint64_t sequence;
  /** Time since the sender had contact with the platform or a relay. */
  uint32_t relay_age_ms;
  bool leaving;
  /** Only the sender monitors the receiver, which is to monitor it in
   * return. */
  bool return_requested;
  uint64_t settings_hash; /**< of all settings that the sender holds */
  /** The sender's proof that its fleet configuration in force was the newest;
   * see policy/access/freshness.h. */
  uint64_t config_version;
  uint32_t config_age_ms; /**< FRESHNESS_AGE_UNKNOWN_MS: no proof */
};

/** Indirect check of a host through the receiver, and its result. */
struct peer_indirect
{
  uint64_t host_key; /**< hash_string() of the host's name */
  bool reachable;    /**< in the result: it answered recently */
};

/** The sender's view of one host.  The address fields are set only if the
 * platform's list doesn't include the host. */
struct peer_member_update
{
  uint64_t host_key;
  uint64_t incarnation;
  uint32_t counter;
  uint8_t state; /**< enum member_state */
  char name[PEER_NAME_SIZE];
  char dc[PEER_NAME_SIZE];
  char peer_address[PEER_ADDRESS_SIZE];
  char caller_address[PEER_ADDRESS_SIZE];
};

struct peer_members
{
  struct peer_member_update *updates;
  size_t count;
};

/** Hash of all settings, and optionally of each bucket of them. */
struct peer_settings_digest
{
  /** Reply with the hashes of the receiver's buckets. */
  bool answer_requested;
  uint64_t total_hash;
  uint64_t *bucket_hashes; /**< none, or one per bucket */
  size_t count;
};

/** Version of one object. */
struct peer_settings_entry
{
  uint64_t key; /**< hash of its kind and name */
  uint64_t version;
};

/** In an offer: the objects that the sender holds.  In a pull: those that it
 * requests. */
struct peer_settings_entries
{
  struct peer_settings_entry *entries;
  size_t count;
};

/** An object of the platform, or its removal. */
struct peer_settings_push
{
  char kind[PEER_KIND_SIZE];
  char name[PEER_NAME_SIZE];
  uint64_t version;
  char *value; /**< NUL-terminated JSON; NULL: removed */
};

/** Query whether a version of a service is in force at the receiver, and the
 * answer. */
struct peer_in_force
{
  uint64_t request_id;
  char service[PEER_NAME_SIZE];
  uint64_t version; /**< queried; in the answer: the one in force */
};

/** What an OUTCOMES report without rows is about, as its epoch.  Builds that
 * don't know these find an empty report and ignore it. */
enum peer_report_topic
{
  PEER_RETRIES_NONE = 0,
  PEER_RETRIES_REQUESTED = 1,   /**< by a host outside the set: `sequence` */
  PEER_RETRIES_TRANSFERRED = 2, /**< to such a host: `sequence` */
  PEER_READ_REQUESTED = 3,      /**< to read the newest state for a relay */
  PEER_READ_FAILED = 4,         /**< the host that was to read can't either */
};

/** Table of integers with names that belong to the rows, for EVIDENCE,
 * DECISION, DEMAND, OUTCOMES, QUOTA_*, POISON and LIMITS.  Sender and receiver
 * agree on the columns. */
struct peer_report
{
  char service[PEER_NAME_SIZE];
  uint64_t epoch;
  uint64_t sequence;
  uint32_t columns;
  int64_t *values;    /**< rows * columns values */
  size_t value_count; /**< a multiple of columns */
  char (*names)[PEER_NAME_SIZE];
  size_t name_count;
};

struct peer_message
{
  enum peer_type type;
  union
  {
    struct peer_hello hello;
    struct peer_proof proof;
    struct peer_heartbeat heartbeat; /**< HEARTBEAT, HEARTBEAT_ACK */
    struct peer_indirect indirect;   /**< INDIRECT_CHECK, _RESULT */
    struct peer_members members;
    struct peer_settings_digest digest;
    struct peer_settings_entries settings; /**< OFFER, PULL */
    struct peer_settings_push push;
    struct peer_in_force in_force; /**< IN_FORCE_REQUEST, _ANSWER */
    struct peer_report report;     /**< EVIDENCE to LIMITS */
  };
};

/** Name of TYPE as logged: "heartbeat", "evidence", ... */
const char *peer_type_name (enum peer_type type);

/** Encode MESSAGE, without the frame header.
 * @return *SIZE bytes in new memory. */
char *peer_message_encode (const struct peer_message *message, size_t *size);

/** Decode SIZE bytes into *MESSAGE, which must be released with
 * peer_message_release() after success.
 * @return STATUS_INVALID, with nothing allocated, on failure. */
enum status peer_message_decode (const char *data, size_t size,
                                 struct peer_message *message);

/** Free the memory that a decoded message refers to. */
void peer_message_release (struct peer_message *message);

#endif
