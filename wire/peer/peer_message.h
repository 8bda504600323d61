/** @file
 * Typed messages between hosts, and their MessagePack form.
 *
 * On the wire a message is one frame (frame.h) that holds an array: the type
 * number, then the fields in the order of the struct.  Decoding is strict:
 * a wrong type, count or length, a name that isn't ended, or bytes left over
 * make the message invalid, and the connection that sent it is closed.
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

/** Bounds of one message; decoding refuses more. */
enum peer_limit
{
  PEER_MEMBER_UPDATES_MAX = 64,
  PEER_BUCKETS_MAX = 256,
  PEER_ENTRIES_MAX = 4096,
  PEER_REPORT_VALUES_MAX = 65536,
  PEER_REPORT_NAMES_MAX = 1024,
  PEER_VALUE_MAX_BYTES = 1024 * 1024,
};

/** What a message is; the numbers are part of the protocol. */
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
  PEER_EVIDENCE = 14, /**< from an observing host to a service's owner */
  PEER_DECISION = 15, /**< from a service's owner to the observing hosts */
  PEER_DEMAND = 16,   /**< slots a host asks of a service's owner */
  PEER_OUTCOMES = 17, /**< how attempts ended, to the hosts of a set */
  PEER_QUOTA_REQUEST = 18, /**< tokens a host wants, and its share lent */
  PEER_QUOTA_GRANT = 19,   /**< a keeper's answer */
  PEER_POISON = 20,        /**< requests that crash targets */
  PEER_LIMITS = 21,        /**< rate limits of targets */
  PEER_TYPE_END
};

/** Who is at the other end; the first message in both directions. */
struct peer_hello
{
  char name[PEER_NAME_SIZE];
  char dc[PEER_NAME_SIZE];
  char peer_address[PEER_ADDRESS_SIZE];
  char caller_address[PEER_ADDRESS_SIZE];
  char operator_address[PEER_ADDRESS_SIZE];
  uint64_t incarnation; /**< random at each start, growing in its high part */
  uint32_t capacity;    /**< requests a second it can carry */
  uint8_t nonce[PEER_NONCE_SIZE];
};

/** Shows that the sender holds the shared secret; see peer_auth.h. */
struct peer_proof
{
  uint8_t mac[PEER_PROOF_SIZE]; /**< zeros when no secret is set */
};

/** "I'm here": also sent back, with the same sequence, as the answer. */
struct peer_heartbeat
{
  uint64_t sequence;
  uint32_t relay_age_ms; /**< since the sender heard platform or relay */
  bool leaving;
  bool return_requested;  /**< the sender watches the receiver by itself */
  uint64_t settings_hash; /**< of all settings the sender holds */
  /** The sender's proof that the fleet's configuration in force there was the
   * newest; see policy/access/freshness.h. */
  uint64_t config_version;
  uint32_t config_age_ms; /**< FRESHNESS_AGE_UNKNOWN_MS: none */
};

/** "Can you reach that host?", and the answer. */
struct peer_indirect
{
  uint64_t host_key; /**< hash_string() of the host's name */
  bool reachable;    /**< in the answer: it answered lately */
};

/** What the sender believes of one host.  Address fields are empty unless
 * the platform's list doesn't show this host. */
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

/** Hash of all settings, or of each bucket of them. */
struct peer_settings_digest
{
  bool answer_requested; /**< send the digest of your buckets back */
  uint64_t total_hash;
  uint64_t *bucket_hashes; /**< none, or one hash a bucket */
  size_t count;
};

/** One object by the hash of kind and name. */
struct peer_settings_entry
{
  uint64_t key;
  uint64_t version;
};

/** In an offer: what the sender holds.  In a pull: what it asks for. */
struct peer_settings_entries
{
  struct peer_settings_entry *entries;
  size_t count;
};

/** One object of the platform, or its removal. */
struct peer_settings_push
{
  char kind[PEER_KIND_SIZE];
  char name[PEER_NAME_SIZE];
  uint64_t version;
  char *value; /**< JSON text with a NUL; NULL: removed */
};

/** "Is this version of a service in force at your host?" */
struct peer_in_force
{
  uint64_t request_id;
  char service[PEER_NAME_SIZE];
  uint64_t version; /**< asked for; in the answer: the one in force */
};

/** EVIDENCE, DECISION, DEMAND, OUTCOMES, QUOTA_* and POISON: rows of
 * fixed-width numbers, whose columns the sender and receiver share, and names
 * that go with the rows. */
struct peer_report
{
  char service[PEER_NAME_SIZE];
  uint64_t epoch;
  uint64_t sequence;
  uint32_t columns;
  int64_t *values;    /**< rows * columns of them */
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
    struct peer_in_force in_force; /**< IN_FORCE_ASK, _ANSWER */
    struct peer_report report;     /**< EVIDENCE to POISON */
  };
};

/** The type's name as in logs: "heartbeat", "evidence", ... */
const char *peer_type_name (enum peer_type type);

/** Encode MESSAGE into new memory.
 * @return the bytes, *SIZE of them, without the frame's length. */
char *peer_message_encode (const struct peer_message *message, size_t *size);

/** Decode SIZE bytes.  What *MESSAGE points to is released with
 * peer_message_release(); on failure (STATUS_INVALID) nothing is held. */
enum status peer_message_decode (const char *data, size_t size,
                                 struct peer_message *message);

/** Free what a decoded message points to. */
void peer_message_release (struct peer_message *message);

#endif
