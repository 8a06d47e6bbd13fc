package org.comfreygap.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.comfreygap.decisions.FairQueue.Item;

/**
 * The work of one customer in one priority class, grouped by adapter.
 *
 * <p>Thread safety: none; owned by a {@link FairQueue}.
 */
final class CustomerQueue<T> {

  final String name;
  final Map<String, Group<T>> groups = new HashMap<>();
  final List<Group<T>> readyGroups = new ArrayList<>();
  long tokens;
  long deficit;
  boolean inTurn;
  Item<T> candidate;

  CustomerQueue(String name) {
    this.name = name;
  }

  void add(Item<T> item, boolean isReady) {
    String key = item.isolated ? item.adapter + "\0isolated" : item.adapter;
    Group<T> group = groups.get(key);
    if (group == null) {
      group = new Group<>(key, isReady);
      groups.put(key, group);
      if (isReady) {
        readyGroups.add(group);
      }
    }
    group.append(item);
    tokens += item.tokens;
  }

  void remove(Item<T> item) {
    Group<T> group = item.group;
    group.unlink(item);
    tokens -= item.tokens;
    if (group.head == null) {
      groups.remove(group.key);
      readyGroups.remove(group);
    }
  }

  Item<T> head(Predicate<T> admissible) {
    Item<T> oldest = null;
    for (Group<T> group : readyGroups) {
      Item<T> head = group.head;
      boolean older = oldest == null || head.enqueuedAtNanos - oldest.enqueuedAtNanos < 0;
      if (older && admissible.test(head.payload)) {
        oldest = head;
      }
    }
    return oldest;
  }

  Item<T> newest() {
    Item<T> newest = null;
    for (Group<T> group : groups.values()) {
      Item<T> tail = group.tail;
      if (newest == null || tail.enqueuedAtNanos - newest.enqueuedAtNanos > 0) {
        newest = tail;
      }
    }
    return newest;
  }

  void ready(String adapter, boolean isReady) {
    for (String key : List.of(adapter, adapter + "\0isolated")) {
      Group<T> group = groups.get(key);
      if (group != null && group.isReady != isReady) {
        group.isReady = isReady;
        if (isReady) {
          readyGroups.add(group);
        } else {
          readyGroups.remove(group);
        }
      }
    }
  }

  long roundsNeeded() {
    long missing = candidate.tokens - deficit;
    return (missing + FairQueue.QUANTUM_TOKENS - 1) / FairQueue.QUANTUM_TOKENS;
  }

  /** Items of one customer, class and adapter, in order of arrival. */
  static final class Group<T> {

    private final String key;
    boolean isReady;
    Item<T> head;
    Item<T> tail;

    Group(String key, boolean isReady) {
      this.key = key;
      this.isReady = isReady;
    }

    void append(Item<T> item) {
      item.group = this;
      item.previous = tail;
      item.next = null;
      if (tail == null) {
        head = item;
      } else {
        tail.next = item;
      }
      tail = item;
    }

    void unlink(Item<T> item) {
      if (item.previous == null) {
        head = item.next;
      } else {
        item.previous.next = item.next;
      }
      if (item.next == null) {
        tail = item.previous;
      } else {
        item.next.previous = item.previous;
      }
      item.group = null;
    }
  }
}
