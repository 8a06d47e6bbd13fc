package org.comfreygap.control;

import java.util.Map;
import java.util.Optional;

/**
 * The platform's form of the calls that only the holder of duties makes.
 *
 * <p>Invariant: equal arguments give equal requests, so that a repeated call has the same content.
 * Thread safety: any thread may call.
 *
 * @since 0.8
 */
public interface DutyDialect {

  /** The dialect of a platform that asks for no duty. */
  DutyDialect NONE =
      new DutyDialect() {
        @Override
        public Request usage(long window, Map<String, Long> begun) {
          throw new IllegalStateException("given a window, expected no duty");
        }

        @Override
        public Request endpoints(String pool, String zone, int count) {
          throw new IllegalStateException("given a pool, expected no duty");
        }

        @Override
        public String holderHeader() {
          throw new IllegalStateException("given a call, expected no duty");
        }

        @Override
        public String fencingHeader() {
          throw new IllegalStateException("given a call, expected no duty");
        }

        @Override
        public Optional<Duty> duty(String name) {
          return Optional.empty();
        }
      };

  /**
   * A request without the headers of the holder.
   *
   * @param path path with query
   * @param body JSON text
   */
  record Request(String method, String path, String body) {}

  /**
   * Returns the request that reports a window of time.
   *
   * @param window number of the window: its start since 1970 divided by the length of a window
   * @param begun requests that began in the window, by customer id ({@code team/name})
   */
  Request usage(long window, Map<String, Long> begun);

  /** Returns the request that orders the number of endpoints of a pool in an availability zone. */
  Request endpoints(String pool, String zone, int count);

  /** Returns the name of the header that holds the name of the holder. */
  String holderHeader();

  /** Returns the name of the header that holds the fencing number. */
  String fencingHeader();

  /** Returns the duty that the platform calls {@code name}; empty for a name that is not known. */
  Optional<Duty> duty(String name);
}
