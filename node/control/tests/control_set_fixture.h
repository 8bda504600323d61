/** @file
 * Four hosts of one data centre and the service "holds", whose set has only
 * one of them.
 */
#ifndef NODE_CONTROL_TESTS_CONTROL_SET_FIXTURE_H
#define NODE_CONTROL_TESTS_CONTROL_SET_FIXTURE_H

#include "node/control/tests/control_fixture.h"

class ControlSetFixture : public ControlFixture
{
protected:
  void
  SetUp () override
  {
    for (int i = 0; i < 4; i++)
      {
        node &added = add ("h" + std::to_string (i), "d0");
        added.start (loop);
        subscribe (added);
      }
    ASSERT_TRUE (until ([&] { return all_live (); }));
    store.put ("service", "holds", service_text ("holds", 4));
    ASSERT_TRUE (until ([&] { return all_agree (); }));
  }

  /** Subscribe to what the test needs from a host that was added. */
  virtual void subscribe (node &added) = 0;

  bool
  all_agree ()
  {
    for (const auto &n : nodes)
      if (n->set_size ("holds") == 0
          || n->sets["holds"] != nodes[0]->sets["holds"])
        return false;
    return true;
  }

  bool
  in_set (const node &at)
  {
    const auto &set = nodes[0]->sets["holds"];
    return std::find (set.begin (), set.end (), at.settings.name)
           != set.end ();
  }

  node *
  find (bool is_in_set)
  {
    for (const auto &n : nodes)
      if (in_set (*n) == is_in_set)
        return n.get ();
    return nullptr;
  }
};

#endif
