/** @file
 * The platform's object API, as the rest of jaystair sees it.
 *
 * Objects have a kind, a name, a version that only grows and a JSON text as
 * value.  Writes are conditional on the version.  Every call ends exactly
 * once, on the loop, with a reply whose status tells apart:
 *  - STATUS_OK;
 *  - STATUS_NOT_FOUND: no such object;
 *  - STATUS_REFUSED: the version didn't match; the reply holds the object as
 *    it stands, when the platform told;
 *  - STATUS_UNREACHABLE: never sent, surely without effect;
 *  - STATUS_LOST_ANSWER: sent, no answer seen.  A write may have taken effect:
 *    read back by its write id, never repeat it blindly;
 *  - STATUS_LIMIT: the platform takes no more calls now; without effect;
 *  - STATUS_INVALID: an answer that can't be understood, or a bad request.
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

/** The object of kind `config` that is in force. */
#define PLATFORM_CONFIG_NAME "main"

/** "There must be no such object yet", as an expected version. */
#define PLATFORM_VERSION_NONE 0

/** Longest kind or name, with its NUL. */
#define PLATFORM_NAME_SIZE 128

/** Largest value the platform holds. */
#define PLATFORM_VALUE_MAX_BYTES (1024 * 1024)

/** One object, or its removal. */
struct platform_object
{
  const char *name;
  uint64_t version;
  const char *value; /**< JSON text; NULL when removed */
};

/** What a call ended with; all pointers are good during the callback only. */
struct platform_reply
{
  enum status status;
  const char *message; /**< for people, when the status isn't OK */
  uint64_t revision;   /**< of the kind, for list and watch */
  const struct platform_object *objects; /**< get and put: one, or none */
  size_t count;
};

/** How old an answer may be that is read. */
enum platform_read_mode
{
  /** All that the platform acknowledged before the call. */
  PLATFORM_READ_LATEST,
  /** Seconds old, whole in itself; cheaper where the platform offers that. */
  PLATFORM_READ_STALE
};

typedef void platform_done (void *owner, const struct platform_reply *reply);

struct platform;

/** What an implementation provides. */
struct platform_ops
{
  void (*get) (struct platform *platform, const char *kind, const char *name,
               platform_done *done, void *owner);
  /** All objects of KIND, with the revision to watch from. */
  void (*list) (struct platform *platform, const char *kind,
                enum platform_read_mode age, platform_done *done, void *owner);
  /** Write VALUE if the object's version is EXPECTED_VERSION; a VALUE of NULL
   * removes the object.  Versions of a kind come from one sequence, so a name
   * that is used again never gets an old version. */
  void (*put) (struct platform *platform, const char *kind, const char *name,
               uint64_t expected_version, const char *value,
               platform_done *done, void *owner);
  /** Wait for changes of KIND after REVISION: ends with those changes, with
   * none after TIMEOUT_MS, or with STATUS_REFUSED when the platform no
   * longer knows that revision (list again). */
  void (*watch) (struct platform *platform, const char *kind,
                 uint64_t revision, uint32_t timeout_ms,
                 enum platform_read_mode age, platform_done *done,
                 void *owner);
  /** End every call of OWNER without calling back.  A write under way may
   * still take effect. */
  void (*cancel) (struct platform *platform, void *owner);
  /** End every call without calling back.  Not within a callback. */
  void (*destroy) (struct platform *platform);
};

/** Embedded first in each implementation. */
struct platform
{
  const struct platform_ops *ops;
  uint64_t calls; /**< calls made, for the budget */
};

static inline void
platform_get (struct platform *platform, const char *kind, const char *name,
              platform_done *done, void *owner)
{
  platform->ops->get (platform, kind, name, done, owner);
}

static inline void
platform_list (struct platform *platform, const char *kind,
               enum platform_read_mode age, platform_done *done, void *owner)
{
  platform->ops->list (platform, kind, age, done, owner);
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
                uint32_t timeout_ms, enum platform_read_mode age,
                platform_done *done, void *owner)
{
  platform->ops->watch (platform, kind, revision, timeout_ms, age, done,
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
