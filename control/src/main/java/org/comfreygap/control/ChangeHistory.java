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
 * by count and by characters of documents. Not thread-safe.
 */
final class ChangeHistory {

  /** At 3,500 changes a day, five days. */
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
   * @param document the document, or null when it was deleted
   * @param previous the document before, or null when there was none
   */
  record Change(
      long revision,
      String path,
      String document,
      String previous,
      String changedBy,
      long changedAtMillis) {

    private int size() {
      // The document of one change is the previous one of the next: each is counted once.
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

  /** Returns the revision up to which changes are forgotten. */
  long floor() {
    return floor;
  }

  void floor(long restored) {
    floor = restored;
  }

  Collection<Change> all() {
    return Collections.unmodifiableCollection(changes);
  }

  /** Returns the changes after {@code revision}, oldest first; empty when some are forgotten. */
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
      if (SettingsTree.within(change.path, prefix)) {
        found.add(change);
      }
    }
    return found;
  }

  /** Returns the documents at {@code revision} of the paths changed since; null: there was none. */
  Optional<Map<String, String>> documentsAt(long revision, String prefix) {
    return after(revision)
        .map(
            since -> {
              Map<String, String> documents = new LinkedHashMap<>();
              for (Change change : since) {
                if (SettingsTree.within(change.path, prefix)
                    && !documents.containsKey(change.path)) {
                  documents.put(change.path, change.previous);
                }
              }
              return documents;
            });
  }
}
