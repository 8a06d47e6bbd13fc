package org.comfreygap.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.comfreygap.decisions.StreamOrigins;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.RequestKind;
import org.comfreygap.settings.SettingsView;

/**
 * The routes of streams in the settings, by their path prefixes.
 *
 * <p>Invariant: a function of the documents of the routes alone, so that all replicas have the
 * same. Thread safety: immutable.
 *
 * @param documents documents of all routes by their paths in the settings
 * @param resumable true where a stream may be resumed, by key of the path prefix
 */
record StreamRoutes(Map<String, String> documents, Map<String, Boolean> resumable) {

  private static final String PREFIX = "/routing/routes";

  /** Copies the maps. */
  StreamRoutes {
    documents = Map.copyOf(documents);
    resumable = Map.copyOf(resumable);
  }

  static StreamRoutes none() {
    return new StreamRoutes(Map.of(), Map.of());
  }

  /** Returns the routes after a change of the settings, which are these when it left them alone. */
  StreamRoutes next(SettingsStore settings) {
    Map<String, String> newest = new HashMap<>();
    settings.tree().subtree(PREFIX).forEach((path, entry) -> newest.put(path, entry.document()));
    if (newest.equals(documents)) {
      return this;
    }
    List<Change> changes = new ArrayList<>();
    newest.forEach(
        (path, document) ->
            changes.add(
                new Change(path, ChangeKind.PUT, settings.revision()).setDocument(document)));
    Map<String, Boolean> found = new HashMap<>();
    for (Route route : SettingsView.snapshot(changes, settings.revision()).routes()) {
      if (route.kind() == RequestKind.STREAM) {
        found.put(StreamOrigins.key(route.host(), route.pathPrefix()), route.resumable());
      }
    }
    return new StreamRoutes(newest, found);
  }
}
