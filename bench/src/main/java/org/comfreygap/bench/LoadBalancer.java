package org.comfreygap.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Stands in for the platform's load balancer: it polls the readiness of the gateways and sends each
 * request to a random ready one.
 *
 * <p>Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
final class LoadBalancer implements LoadGenerator.Gateways, AutoCloseable {

  private static final long POLL_MILLIS = 300;

  private final List<String> urls;
  private final Random random;
  private final Thread poller;
  private volatile List<Integer> ready = new ArrayList<>();

  LoadBalancer(List<String> urls, Readiness readiness, long seed) {
    this.urls = urls;
    this.random = new Random(seed);
    for (int i = 0; i < urls.size(); i++) {
      ready.add(i);
    }
    this.poller = new Thread(() -> poll(readiness), "load-balancer");
    poller.setDaemon(true);
    poller.start();
  }

  @Override
  public List<String> urls() {
    return urls;
  }

  @Override
  public int next() {
    List<Integer> now = ready;
    synchronized (random) {
      return now.isEmpty() ? random.nextInt(urls.size()) : now.get(random.nextInt(now.size()));
    }
  }

  @Override
  public void close() {
    poller.interrupt();
  }

  private void poll(Readiness readiness) {
    try {
      while (true) {
        List<Integer> found = new ArrayList<>();
        for (int i = 0; i < urls.size(); i++) {
          if (readiness.isReady(i)) {
            found.add(i);
          }
        }
        ready = found;
        Thread.sleep(POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Readiness check of a gateway. */
  interface Readiness {

    boolean isReady(int gateway) throws InterruptedException;
  }
}
