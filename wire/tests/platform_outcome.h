/** @file
 * Recorded result of a platform call, shared by the tests of all platform
 * implementations.
 */
#ifndef WIRE_TESTS_PLATFORM_OUTCOME_H
#define WIRE_TESTS_PLATFORM_OUTCOME_H

#include <cstdint>
#include <string>
#include <vector>

#include <ev.h>

extern "C"
{
#include "wire/platform.h"
}

/** A copy of an object of a reply. */
struct object
{
  std::string name;
  uint64_t version;
  std::string value; /**< "(removed)" if it was removed */
};

/** The results of a call. */
struct outcome
{
  /** The event loop ON, unless null, is stopped at each completion. */
  explicit outcome (struct ev_loop *on = nullptr) : loop (on)
  {
  }

  struct ev_loop *loop;
  int ends = 0;
  enum status status = STATUS_SYSTEM;
  std::string message;
  uint64_t revision = 0;
  std::vector<object> objects;

  std::vector<std::string>
  names () const
  {
    std::vector<std::string> all;
    for (const object &one : objects)
      all.push_back (one.name);
    return all;
  }
};

/** A platform_done whose owner is an outcome. */
inline void
on_end (void *owner, const struct platform_reply *reply)
{
  auto *end = static_cast<outcome *> (owner);
  end->ends++;
  end->status = reply->status;
  end->message = reply->message != nullptr ? reply->message : "";
  end->revision = reply->revision;
  for (size_t i = 0; i < reply->count; i++)
    {
      const struct platform_object *o = &reply->objects[i];
      end->objects.push_back (
          { o->name, o->version,
            o->value != nullptr ? o->value : "(removed)" });
    }
  if (end->loop != nullptr)
    ev_break (end->loop, EVBREAK_ONE);
}

#endif
