package org.comfreygap.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.decisions.LimitTolerance;
import org.comfreygap.decisions.LoadPermits;
import org.comfreygap.settings.DocumentKind;
import org.comfreygap.settings.SettingsPath;

/**
 * Copies the limits of customers and of the adapter store from the settings tree into a leader's
 * policies.
 *
 * <p>Invariant: once {@link #update} returns, the policies use the limits of the revision that was
 * current at the call. Thread safety: guarded by the monitor of the term's budget.
 */
final class LimitsUpdater {

  private final ControlState state;
  private final LimitTolerance tolerance;
  private LeaderTerm appliedTerm;
  private long appliedRevision;

  LimitsUpdater(ControlState state, LimitTolerance tolerance) {
    this.tolerance = tolerance;
    this.state = state;
  }

  /** Applies the limits changed since the last call; the caller holds the monitor of the budget. */
  void update(LeaderTerm term, long now) {
    if (appliedTerm == term && state.revision() == appliedRevision) {
      return;
    }
    state.readSettings(
        store -> {
          Optional<List<ChangeHistory.Change>> changes =
              appliedTerm == term ? store.history().after(appliedRevision) : Optional.empty();
          if (changes.isPresent()) {
            changes.get().forEach(c -> apply(term, c.path(), c.document(), now));
          } else {
            for (Map.Entry<String, SettingsTree.Entry> entry :
                store.tree().subtree("/").entrySet()) {
              apply(term, entry.getKey(), entry.getValue().document(), now);
            }
          }
          appliedTerm = term;
          appliedRevision = store.revision();
          return null;
        });
  }

  private void apply(LeaderTerm term, String path, String document, long now) {
    if (!path.endsWith("/limits") && !path.equals("/platform/store")) {
      return;
    }
    SettingsPath parsed = SettingsPath.parse(path).orElseThrow();
    Optional<DocumentKind> kind = DocumentKind.of(parsed);
    if (kind.filter(DocumentKind.LIMITS::equals).isPresent()) {
      String customer = parsed.segment(1) + "/" + parsed.segment(3);
      if (document == null) {
        term.budget().close(customer);
      } else {
        JsonNode limits = parse(document);
        term.budget()
            .limits(
                customer,
                tolerance.rate(limits.path("tokensPerSecond").asLong()),
                tolerance.burst(limits.path("burstTokens").asLong()),
                now);
      }
    } else if (kind.filter(DocumentKind.STORE::equals).isPresent()) {
      LoadPermits.Limits limits =
          document == null ? LoadPermits.Limits.DEFAULT : parseStoreLimits(document);
      synchronized (term.permits()) {
        term.permits().limits(limits);
      }
    }
  }

  private static LoadPermits.Limits parseStoreLimits(String document) {
    JsonNode node = parse(document);
    return new LoadPermits.Limits(
        node.path("loadsPerSecond").asDouble(),
        node.path("fullSpeedLoads").asInt(),
        node.path("maxInFlight").asInt());
  }

  private static JsonNode parse(String document) {
    try {
      return Codec.MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the settings tree holds a malformed document", e);
    }
  }
}
