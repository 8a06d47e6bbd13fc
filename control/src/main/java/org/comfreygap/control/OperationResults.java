package org.comfreygap.control;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The first answer of each operation id.
 *
 * <p>Invariant: within the bounds of count, bytes and age a resend receives the first answer; the
 * oldest is dropped first. Not thread-safe.
 */
final class OperationResults {

  /** At 3,500 changes a day, more than two days. */
  static final int MAX_OPERATIONS = 8_000;

  static final long MAX_EXTRA_BYTES = 2 << 20;

  /** No operator's client resends an operation after a week. */
  static final long MAX_AGE_MILLIS = 7 * 24 * 3_600_000L;

  private final Map<String, Operation> operations = new LinkedHashMap<>();
  private long extraBytes;

  /**
   * An answered operation.
   *
   * @param id operator and operation id
   * @param digest tells a resend from another change under the same id
   */
  record Operation(String id, long digest, long logMillis, ChangeResult answer) {}

  Optional<Operation> find(String id) {
    return Optional.ofNullable(operations.get(id));
  }

  void add(Operation operation) {
    operations.put(operation.id, operation);
    extraBytes += operation.answer.extraBytes();
    Iterator<Operation> oldest = operations.values().iterator();
    while (oldest.hasNext()) {
      Operation candidate = oldest.next();
      boolean drop =
          operations.size() > MAX_OPERATIONS
              || extraBytes > MAX_EXTRA_BYTES
              || operation.logMillis - candidate.logMillis > MAX_AGE_MILLIS;
      if (!drop) {
        return;
      }
      oldest.remove();
      extraBytes -= candidate.answer.extraBytes();
    }
  }

  Collection<Operation> all() {
    return operations.values();
  }
}
