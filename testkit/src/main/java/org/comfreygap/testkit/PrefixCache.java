package org.comfreygap.testkit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A bounded cache of prompt prefixes with least-recently-used eviction, separated by namespace.
 *
 * <p>Prompts are split into blocks of 64 characters; the cached part of a prompt is its longest
 * prefix of cached blocks. Thread safety: none; the engine's lock guards it.
 *
 * @since 0.1
 */
final class PrefixCache {

  private static final int BLOCK_CHARACTERS = 64;

  private final Map<String, Boolean> blocks;

  PrefixCache(int maxBlocks) {
    this.blocks =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > maxBlocks;
          }
        };
  }

  /** Returns how many characters of the prompt were cached, and caches all of its blocks. */
  int lookUp(String namespace, String adapter, String prompt) {
    int cached = 0;
    boolean prefixCached = true;
    int hash = (namespace + "\n" + adapter).hashCode();
    for (int at = 0; at + BLOCK_CHARACTERS <= prompt.length(); at += BLOCK_CHARACTERS) {
      hash = 31 * hash + prompt.substring(at, at + BLOCK_CHARACTERS).hashCode();
      String block = namespace + "|" + adapter + "|" + at + "|" + hash;
      prefixCached = prefixCached && blocks.get(block) != null;
      cached += prefixCached ? BLOCK_CHARACTERS : 0;
      blocks.put(block, Boolean.TRUE);
    }
    return cached;
  }

  void clear() {
    blocks.clear();
  }
}
