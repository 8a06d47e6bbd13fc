package org.comfreygap.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The newest changes of the settings tree, with who made them and when.
 *
 * <p>Invariant: it holds every change with a revision above {@link #floor}, in order. It is bounded
 * by the number of changes and by the characters of their documents. Not thread-safe.
 */
final class ChangeHistory {

  /** Five days at 3,500 changes a day. */
  static final int MAX_CHANGES = 17_500;

  static final int MAX_CHARACTERS = 6_000_000;

  private final int maxChanges;
  private final Deque<Change> changes = new ArrayDeque<>();
  private long characters;
  private long floor;

  ChangeHistory() {
    this(MAX_CHANGES);
  }

  ChangeHistory(int maxChanges) {
    this.maxChanges = maxChanges;
  }

  /**
   * One change.
   *
   * @param document the new document, or null when the change deleted it
   * @param previous the previous document, or null when there was none
   */
  record Change(
      long revision,
      String path,
      String document,
      String previous,
      String changedBy,
      long changedAtMillis) {

    private int size() {
      // The document of one change is the previous document of the next one and is counted once.
      return path.length() + (document == null ? 0 : document.length());
    }
  }

  void add(Change change) {
    changes.addLast(change);
    characters += change.size();
    while (changes.size() > maxChanges || characters > MAX_CHARACTERS) {
      Change oldest = changes.removeFirst();
      characters -= oldest.size();
      floor = oldest.revision;
    }
  }

  /** Returns the highest revision whose changes were dropped. */
  long floor() {
    return floor;
  }

  void floor(long restored) {
    floor = restored;
  }

  Collection<Change> all() {
    return Collections.unmodifiableCollection(changes);
  }

  /**
   * Returns the changes after {@code revision}, oldest first; empty when some of them were dropped.
   */
  Optional<List<Change>> after(long revision) {
    if (revision < floor) {
      return Optional.empty();
    }
    List<Change> found = new ArrayList<>();
    Iterator<Change> newest = changes.descendingIterator();
    while (newest.hasNext()) {
      Change change = newest.next();
      if (change.revision <= revision) {
        break;
      }
      found.add(change);
    }
    Collections.reverse(found);
    return Optional.of(found);
  }

  /** Returns the newest changes at and below {@code prefix}, newest first. */
  List<Change> newest(String prefix, int limit) {
    List<Change> found = new ArrayList<>();
    Iterator<Change> newest = changes.descendingIterator();
    while (newest.hasNext() && found.size() < limit) {
      Change change = newest.next();
      if (SettingsTree.isWithin(change.path, prefix)) {
        found.add(change);
      }
    }
    return found;
  }

  /**
   * Returns the documents at {@code revision} of the paths changed since then; null where there was
   * no document. Empty when some of the changes were dropped.
   */
  Optional<Map<String, String>> documentsAt(long revision, String prefix) {
    return after(revision)
        .map(
            since -> {
              Map<String, String> documents = new LinkedHashMap<>();
              for (Change change : since) {
                if (SettingsTree.isWithin(change.path, prefix)
                    && !documents.containsKey(change.path)) {
                  documents.put(change.path, change.previous);
                }
              }
              return documents;
            });
  }
}
