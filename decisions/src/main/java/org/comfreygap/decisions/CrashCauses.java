package org.comfreygap.decisions;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Finds the causes of crashes among the requests that were at endpoints when they ended: a request
 * that is repeated, or a part of prompts that many requests share.
 *
 * <pre>{@code
 * causes.crashed(crash, suspects, Map.of(), now);
 * boolean isBanned = causes.requests().remaining(fingerprint, now).isPresent();
 * List<PartQuarantine.Ban> bans = causes.parts().bans();
 * }</pre>
 *
 * <p>Invariant: a crash that a banned part explains counts against no request, so that the requests
 * beside those with the part stay admitted. Not thread-safe.
 *
 * @since 0.4
 */
public final class CrashCauses {

  private final Quarantine requests = new Quarantine(Quarantine.Bounds.DEFAULT);
  private final PartQuarantine parts = new PartQuarantine(PartQuarantine.Bounds.DEFAULT);

  /** Returns the quarantine of requests that are repeated. */
  public Quarantine requests() {
    return requests;
  }

  /** Returns the quarantine of parts of prompts. */
  public PartQuarantine parts() {
    return parts;
  }

  /**
   * Records a crash.
   *
   * @param suspects requests at the endpoint whose responses had not begun
   * @param began responses that began lately on parts of these requests, at the reporter
   * @return fingerprints of the suspects that are quarantined now
   */
  public List<String> crashed(
      Quarantine.Crash crash,
      Collection<SuspectRequest> suspects,
      Map<String, Integer> began,
      long now) {
    List<PartQuarantine.Ban> before = parts.bans();
    parts.crashed(crash, suspects, now);
    parts.beganEarlier(began, now);
    if (!parts.bans().equals(before)) {
      withdrawExplainedCrashes(now);
    }
    List<String> fingerprints = suspects.stream().map(SuspectRequest::fingerprint).toList();
    return parts.isExplained(crash) ? List.of() : requests.crashed(crash, fingerprints, now);
  }

  private void withdrawExplainedCrashes(long now) {
    Stream<Quarantine.Crash> explained =
        requests.suspects().stream()
            .flatMap(suspect -> suspect.crashes().stream())
            .distinct()
            .filter(parts::isExplained);
    explained.toList().forEach(crash -> requests.withdraw(crash, now));
  }
}
