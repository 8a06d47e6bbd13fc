package org.comfreygap.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The bans of parts of prompts in force at a gateway, for a fast check of each request.
 *
 * <pre>{@code
 * Optional<PartQuarantine.Ban> ban = bans.find(request.sharedParts(), now);
 * }</pre>
 *
 * <p>Invariant: a check without a match allocates nothing. Thread safety: immutable.
 *
 * @since 0.4
 */
public final class PartBans {

  /** No bans. */
  public static final PartBans NONE = new PartBans(List.of());

  private final List<PartQuarantine.Ban> bans;
  private final Map<String, List<PartQuarantine.Ban>> byFirstPart = new HashMap<>();

  /** Creates an index of bans. */
  public PartBans(List<PartQuarantine.Ban> bans) {
    this.bans = List.copyOf(bans);
    for (PartQuarantine.Ban ban : bans) {
      byFirstPart.computeIfAbsent(ban.parts().get(0), part -> new ArrayList<>()).add(ban);
    }
  }

  /** Returns all bans. */
  public List<PartQuarantine.Ban> all() {
    return bans;
  }

  /** Returns a ban in effect of which a prompt with the given parts holds all parts. */
  public Optional<PartQuarantine.Ban> find(List<String> parts, long nowNanos) {
    if (bans.isEmpty()) {
      return Optional.empty();
    }
    for (int i = 0; i < parts.size(); i++) {
      List<PartQuarantine.Ban> candidates = byFirstPart.get(parts.get(i));
      for (int j = 0; candidates != null && j < candidates.size(); j++) {
        PartQuarantine.Ban ban = candidates.get(j);
        boolean inEffect = nowNanos - ban.fromNanos() >= 0 && ban.untilNanos() - nowNanos > 0;
        if (inEffect && holdsAll(parts, ban.parts())) {
          return Optional.of(ban);
        }
      }
    }
    return Optional.empty();
  }

  private static boolean holdsAll(List<String> parts, List<String> banned) {
    for (int i = 0; i < banned.size(); i++) {
      if (!parts.contains(banned.get(i))) {
        return false;
      }
    }
    return true;
  }
}
