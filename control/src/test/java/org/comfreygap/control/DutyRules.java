package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a platform demands of calls of one holder; a call that its rules forbid fails the test. */
final class DutyRules {

  private final String name;
  private final long leaseMillis;
  private final Map<Long, String> windows = new TreeMap<>();
  private final Map<Long, String> holders = new HashMap<>();
  private final List<String> turns = new ArrayList<>();
  private final List<Long> turnMillis = new ArrayList<>();
  private long highest;

  DutyRules(String name, long leaseMillis) {
    this.name = name;
    this.leaseMillis = leaseMillis;
  }

  String name() {
    return name;
  }

  /** Returns the content by window. */
  Map<Long, String> windows() {
    return windows;
  }

  /** Returns how often the holder changed, with the first one. */
  int turns() {
    return turns.size();
  }

  void take(DutyState.Holding holding, long window, String body, long millis) {
    assertThat(holding.fencing()).as(name).isGreaterThanOrEqualTo(highest);
    highest = holding.fencing();
    assertThat(holders.getOrDefault(highest, holding.holder()))
        .as(name)
        .isEqualTo(holding.holder());
    holders.put(highest, holding.holder());
    checkTurns(holding.holder(), millis);
    assertThat(windows.getOrDefault(window, body)).as(name).isEqualTo(body);
    windows.put(window, body);
  }

  private void checkTurns(String holder, long millis) {
    int last = turns.size() - 1;
    boolean sameHolder = last >= 0 && turns.get(last).equals(holder);
    if (!sameHolder && last >= 1 && turns.get(last - 1).equals(holder)) {
      assertThat(millis - turnMillis.get(last - 1)).as(name).isGreaterThan(leaseMillis);
    }
    if (sameHolder) {
      turnMillis.set(last, millis);
    } else {
      turns.add(holder);
      turnMillis.add(millis);
    }
  }
}
