package org.comfreygap.control;

/**
 * A call to the platform that is in the replicated log; a repeat of it has the same content.
 *
 * <p>Thread safety: immutable.
 *
 * @param subject what the call is about within its duty; the platform orders calls by subject
 * @param number number of the call within its subject, for example that of the reported window
 * @param body JSON text
 */
record DutyCall(Duty duty, String subject, long number, String method, String path, String body) {

  static DutyCall of(Duty duty, String subject, long number, DutyDialect.Request request) {
    return new DutyCall(duty, subject, number, request.method(), request.path(), request.body());
  }
}
