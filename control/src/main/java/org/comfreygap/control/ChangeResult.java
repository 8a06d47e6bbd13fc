package org.comfreygap.control;

import java.util.List;
import org.comfreygap.settings.Fault;

/**
 * Result of a change of the settings tree, stored to be returned for resends.
 *
 * <p>Thread safety: immutable.
 *
 * @param revision revision of the tree after the change; 0 after a failure
 * @param currentRevision after a conflict, the present revision of the path
 * @param changedBy after a conflict, the author of that revision, or null when unknown
 */
record ChangeResult(
    Code code,
    long revision,
    String message,
    List<Fault> faults,
    long currentRevision,
    String changedBy) {

  /** Outcome of a change with its HTTP status. */
  enum Code {
    OK(200),
    CONFLICT(409),
    INVALID(422),
    NOT_FOUND(404),
    OPERATION_REUSED(409),
    HISTORY_GONE(410),
    FULL(507);

    private final int status;

    Code(int status) {
      this.status = status;
    }

    int status() {
      return status;
    }
  }

  static ChangeResult ok(long revision) {
    return new ChangeResult(Code.OK, revision, null, null, 0, null);
  }

  static ChangeResult failure(Code code, String message) {
    return new ChangeResult(code, 0, message, null, 0, null);
  }

  static ChangeResult invalid(List<Fault> faults) {
    String message = faults.size() + (faults.size() == 1 ? " fault" : " faults");
    return new ChangeResult(Code.INVALID, 0, message, List.copyOf(faults), 0, null);
  }

  static ChangeResult conflict(String path, long expected, long current, String changedBy) {
    String message =
        "given revision " + expected + " of " + path + ", expected the present one, " + current;
    return new ChangeResult(Code.CONFLICT, 0, message, null, current, changedBy);
  }

  /** Returns the approximate memory in bytes beyond that of a successful result. */
  int extraBytes() {
    int bytes = message == null ? 0 : message.length();
    if (faults != null) {
      for (Fault fault : faults) {
        bytes += 100 + fault.path().length() + fault.given().length() + fault.expected().length();
      }
    }
    return bytes;
  }
}
