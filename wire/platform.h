/** @file
 * Interface of the platform's object API.
 *
 * An object has a kind, a name, an increasing version (platform_version.h) and
 * a JSON text as its value.  Writes are conditional on the version.  Each call
 * completes exactly once, from the event loop, with a reply that has one of
 * these statuses:
 *  - STATUS_OK;
 *  - STATUS_NOT_FOUND: no such object;
 *  - STATUS_REFUSED: the version didn't match; the reply holds the current
 *    object if the platform included it;
 *  - STATUS_UNREACHABLE: not sent, without effect;
 *  - STATUS_LOST_ANSWER: sent, but no response was received.  A write may have
 *    taken effect: it must be read back by its write id, not repeated blindly;
 *  - STATUS_LIMIT: rejected by the platform's rate limit, without effect;
 *  - STATUS_INVALID: an invalid response, or one that exceeds the limit of a
 *    call, or a bad request.
 *
 * Implementations: platform_http.h (the object API over HTTP and JSON) and
 * platform_file.h (one file, for a single host without a platform).
 */
#ifndef WIRE_PLATFORM_H
#define WIRE_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/** Kinds of objects. */
#define PLATFORM_KIND_SERVICE "service"   /**< service_spec.h */
#define PLATFORM_KIND_EJECTION "ejection" /**< floor record of a service */
#define PLATFORM_KIND_HOST "host"         /**< live and leaving hosts */
#define PLATFORM_KIND_CONFIG "config"     /**< fleet_config.h */
#define PLATFORM_KIND_TARGET "target"     /**< target_record.h */
#define PLATFORM_KIND_POISON "poison"     /**< blocked requests */

/** Name of the object of kind `config` that hosts put in force. */
#define PLATFORM_CONFIG_NAME "main"

/** Expected version of an object that must not exist yet. */
#define PLATFORM_VERSION_NONE 0

/** Size of the longest kind or name, including the NUL. */
#define PLATFORM_NAME_SIZE 128

/** Maximum size of a value in the platform. */
#define PLATFORM_VALUE_MAX_BYTES (1024 * 1024)

/** An object, or its removal. */
struct platform_object
{
  const char *name;
  uint64_t version;
  const char *value; /**< JSON text; NULL when removed */
};

/** Result of a call.  Pointers are valid only during the callback. */
struct platform_reply
{
  enum status status;
  const char *message; /**< human-readable, if the status isn't OK */
  uint64_t revision;   /**< of the kind, for list and watch */
  const struct platform_object *objects; /**< get and put: one, or none */
  size_t count;
  /** A response began and didn't end, in all attempts of the call. */
  bool is_partial;
};

/** Consistency of a read. */
enum platform_read_mode
{
  /** Includes every write that was acknowledged before the call. */
  PLATFORM_READ_LATEST,
  /** A consistent snapshot that may be seconds old; cheaper if the platform
   * supports it. */
  PLATFORM_READ_STALE
};

typedef void platform_done (void *owner, const struct platform_reply *reply);

struct platform;

/** Operations of an implementation. */
struct platform_ops
{
  void (*get) (struct platform *platform, const char *kind, const char *name,
               platform_done *done, void *owner);
  /** List all objects of KIND, with the revision to watch from.  Parts of the
   * list may be newer than that, so a watch may return changes that it has. */
  void (*list) (struct platform *platform, const char *kind,
                enum platform_read_mode mode, platform_done *done,
                void *owner);
  /** Write VALUE if the object's version is EXPECTED_VERSION; a NULL VALUE
   * removes the object.  All versions of a kind come from one sequence, so a
   * name that is reused never gets an old version. */
  void (*put) (struct platform *platform, const char *kind, const char *name,
               uint64_t expected_version, const char *value,
               platform_done *done, void *owner);
  /** Wait for changes of KIND after REVISION.  Completes with the changes,
   * with none after TIMEOUT_MS, or with STATUS_REFUSED if the platform doesn't
   * have that revision or has been restored since; the owner must list again
   * then. */
  void (*watch) (struct platform *platform, const char *kind,
                 uint64_t revision, uint32_t timeout_ms,
                 enum platform_read_mode mode, platform_done *done,
                 void *owner);
  /** Cancel all calls of OWNER without callbacks.  A write in flight may still
   * take effect. */
  void (*cancel) (struct platform *platform, void *owner);
  /** Cancel all calls without callbacks.  Must not be called from a
   * callback. */
  void (*destroy) (struct platform *platform);
};

/** Called when a response shows that the platform came back from an older
 * copy, before the response is processed.  It must not make or cancel
 * calls. */
typedef void platform_restored (void *owner, uint64_t from_era,
                                uint64_t to_era);

/** Base of each implementation, embedded as its first member. */
struct platform
{
  const struct platform_ops *ops;
  uint64_t calls;    /**< number of calls made, for the call budget */
  uint64_t era;      /**< highest of the responses; 0: the platform has none */
  uint32_t restores; /**< seen in responses */
  platform_restored *restored; /**< NULL: none */
  void *restored_owner;
  uint64_t skipped; /**< objects of responses that couldn't be read */
};

static inline void
platform_get (struct platform *platform, const char *kind, const char *name,
              platform_done *done, void *owner)
{
  platform->ops->get (platform, kind, name, done, owner);
}

static inline void
platform_list (struct platform *platform, const char *kind,
               enum platform_read_mode mode, platform_done *done, void *owner)
{
  platform->ops->list (platform, kind, mode, done, owner);
}

static inline void
platform_put (struct platform *platform, const char *kind, const char *name,
              uint64_t expected_version, const char *value,
              platform_done *done, void *owner)
{
  platform->ops->put (platform, kind, name, expected_version, value, done,
                      owner);
}

static inline void
platform_watch (struct platform *platform, const char *kind, uint64_t revision,
                uint32_t timeout_ms, enum platform_read_mode mode,
                platform_done *done, void *owner)
{
  platform->ops->watch (platform, kind, revision, timeout_ms, mode, done,
                        owner);
}

static inline void
platform_cancel (struct platform *platform, void *owner)
{
  platform->ops->cancel (platform, owner);
}

static inline void
platform_destroy (struct platform *platform)
{
  if (platform != NULL)
    platform->ops->destroy (platform);
}

#endif
