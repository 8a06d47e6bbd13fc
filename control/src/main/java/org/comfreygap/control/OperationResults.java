package org.comfreygap.control;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The first result of each operation id.
 *
 * <p>Invariant: within the bounds of count, bytes and age a resend receives the first result; the
 * oldest results are dropped first. Not thread-safe.
 */
final class OperationResults {

  /** More than two days at 3,500 changes a day. */
  static final int MAX_OPERATIONS = 8_000;

  static final long MAX_EXTRA_BYTES = 2 << 20;

  /** Clients of operators do not resend an operation after a week. */
  static final long MAX_AGE_MILLIS = 7 * 24 * 3_600_000L;

  private final Map<String, Operation> operations = new LinkedHashMap<>();
  private long extraBytes;

  /**
   * A completed operation.
   *
   * @param id operator and operation id
   * @param digest distinguishes a resend from another change under the same id
   * @param answer the first result
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
