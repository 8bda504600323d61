/** @file
 * Ordered sets of the entries of one array, with ranks: treaps with subtree
 * sizes.  All operations take O(log n) on average and allocate no memory.
 *
 * Several trees may share one array of nodes if each node is in at most one
 * of them.
 */
#ifndef POLICY_CHOICE_ORDER_TREE_H
#define POLICY_CHOICE_ORDER_TREE_H

#include <stdbool.h>
#include <stdint.h>

/** An empty tree, or no node. */
#define ORDER_TREE_NONE UINT32_MAX

/** Nodes are ordered by level, then time, then sequence number. */
struct order_key
{
  uint32_t level;
  int64_t time_us;
  uint64_t seq;
};

struct order_node
{
  struct order_key key;
  uint64_t weight; /**< pseudo-random; that of a parent is larger */
  uint32_t left;
  uint32_t right;
  uint32_t count; /**< nodes of the subtree, including this one */
};

/** Insert NODE with KEY into the tree at ROOT. */
void order_tree_insert (struct order_node *nodes, uint32_t *root,
                        uint32_t node, struct order_key key);

/** Remove NODE, which is in the tree at ROOT. */
void order_tree_remove (struct order_node *nodes, uint32_t *root,
                        uint32_t node);

/** The number of nodes of the tree. */
uint32_t order_tree_count (const struct order_node *nodes, uint32_t root);

/** The number of nodes before KEY. */
uint32_t order_tree_rank (const struct order_node *nodes, uint32_t root,
                          struct order_key key);

/** The node with INDEX nodes before it, or ORDER_TREE_NONE. */
uint32_t order_tree_at (const struct order_node *nodes, uint32_t root,
                        uint32_t index);

/** Does A go before B? */
bool order_key_precedes (struct order_key a, struct order_key b);

#endif
