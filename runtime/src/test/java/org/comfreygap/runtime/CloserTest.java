package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Guards against a stop of which nobody can tell where its time went. */
class CloserTest {

  private final Closer closer = new Closer();

  @Test
  void namesTheResourceThatTookLongest() {
    closer.register("quick", () -> {});
    closer.register("slow", () -> Thread.sleep(60));
    closer.register("quicker", () -> {});

    closer.close();

    Closer.Progress progress = closer.progress();
    assertThat(progress.longest()).isEqualTo("slow");
    assertThat(progress.longestTime()).isGreaterThanOrEqualTo(Duration.ofMillis(60));
    assertThat(progress.closing()).isEmpty();
  }

  @Test
  void namesTheResourceThatIsBeingClosed() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    CountDownLatch end = new CountDownLatch(1);
    closer.register(
        "stuck",
        () -> {
          begun.countDown();
          end.await();
        });
    Thread closing = new Thread(closer::close);
    closing.start();
    begun.await();

    assertThat(closer.progress().closing()).contains("stuck");

    end.countDown();
    closing.join();
    assertThat(closer.progress().closing()).isEmpty();
  }
}
