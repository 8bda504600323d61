#include "policy/choice/order_tree.h"

bool
order_key_precedes (struct order_key a, struct order_key b)
{
  if (a.level != b.level)
    return a.level < b.level;
  if (a.time_us != b.time_us)
    return a.time_us < b.time_us;
  return a.seq < b.seq;
}

uint32_t
order_tree_count (const struct order_node *nodes, uint32_t root)
{
  return root == ORDER_TREE_NONE ? 0 : nodes[root].count;
}

static void
update_count (struct order_node *nodes, uint32_t node)
{
  nodes[node].count = 1 + order_tree_count (nodes, nodes[node].left)
                      + order_tree_count (nodes, nodes[node].right);
}

/* Joins two trees; all nodes of BEFORE precede those of AFTER. */
static uint32_t
merge (struct order_node *nodes, uint32_t before, uint32_t after)
{
  if (before == ORDER_TREE_NONE)
    return after;
  if (after == ORDER_TREE_NONE)
    return before;
  if (nodes[before].weight > nodes[after].weight)
    {
      nodes[before].right = merge (nodes, nodes[before].right, after);
      update_count (nodes, before);
      return before;
    }
  nodes[after].left = merge (nodes, before, nodes[after].left);
  update_count (nodes, after);
  return after;
}

static void
split (struct order_node *nodes, uint32_t root, struct order_key key,
       uint32_t *before, uint32_t *after)
{
  if (root == ORDER_TREE_NONE)
    {
      *before = ORDER_TREE_NONE;
      *after = ORDER_TREE_NONE;
      return;
    }
  if (order_key_precedes (nodes[root].key, key))
    {
      *before = root;
      split (nodes, nodes[root].right, key, &nodes[root].right, after);
    }
  else
    {
      *after = root;
      split (nodes, nodes[root].left, key, before, &nodes[root].left);
    }
  update_count (nodes, root);
}

/* The finalizer of SplitMix64: consecutive numbers get independent weights. */
static uint64_t
weight_of (uint64_t seq)
{
  uint64_t z = seq + 0x9e3779b97f4a7c15U;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31);
}

void
order_tree_insert (struct order_node *nodes, uint32_t *root, uint32_t node,
                   struct order_key key)
{
  uint32_t before;
  uint32_t after;
  nodes[node] = (struct order_node){
    .key = key,
    .weight = weight_of (key.seq),
    .left = ORDER_TREE_NONE,
    .right = ORDER_TREE_NONE,
    .count = 1,
  };
  split (nodes, *root, key, &before, &after);
  *root = merge (nodes, merge (nodes, before, node), after);
}

void
order_tree_remove (struct order_node *nodes, uint32_t *root, uint32_t node)
{
  uint32_t *link = root;
  while (*link != node)
    {
      struct order_node *parent = &nodes[*link];
      parent->count--;
      link = order_key_precedes (nodes[node].key, parent->key)
                 ? &parent->left
                 : &parent->right;
    }
  *link = merge (nodes, nodes[node].left, nodes[node].right);
}

uint32_t
order_tree_rank (const struct order_node *nodes, uint32_t root,
                 struct order_key key)
{
  uint32_t rank = 0;
  while (root != ORDER_TREE_NONE)
    if (order_key_precedes (nodes[root].key, key))
      {
        rank += 1 + order_tree_count (nodes, nodes[root].left);
        root = nodes[root].right;
      }
    else
      root = nodes[root].left;
  return rank;
}

uint32_t
order_tree_at (const struct order_node *nodes, uint32_t root, uint32_t index)
{
  while (root != ORDER_TREE_NONE)
    {
      const uint32_t left = order_tree_count (nodes, nodes[root].left);
      if (index == left)
        return root;
      if (index < left)
        root = nodes[root].left;
      else
        {
          index -= left + 1;
          root = nodes[root].right;
        }
    }
  return ORDER_TREE_NONE;
}
