package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that parts of any sizes are joined, in order, into few buffers. */
class GatheredPartsTest {

  private static final int SEEDS = 200;
  private static final int PARTS = 300;

  private final GatheredParts gathered = new GatheredParts(UnpooledByteBufAllocator.DEFAULT);

  /** Guards against bytes that are lost, repeated or in another order, and against kept buffers. */
  @Test
  void joinsPartsOfAllSizesInOrder() {
    for (long seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      ByteBuf expected = Unpooled.buffer();
      List<ByteBuf> parts = new ArrayList<>();
      for (int i = 0; i < random.nextInt(PARTS); i++) {
        byte[] bytes = new byte[random.nextInt(random.nextBoolean() ? 20 : 10_000)];
        random.nextBytes(bytes);
        expected.writeBytes(bytes);
        parts.add(Unpooled.buffer().writeBytes(bytes));
        gathered.append(parts.get(i));
      }
      assertThat(gathered.size()).isEqualTo(expected.readableBytes());

      ByteBuf all = gathered.takeAll();

      assertThat(all).as("seed " + seed).isEqualTo(expected);
      int most = 2 * expected.readableBytes() / GatheredParts.LARGE_PART_BYTES + 2;
      assertThat(all instanceof CompositeByteBuf many ? many.numComponents() : 1)
          .isLessThanOrEqualTo(most);
      all.release();
      assertThat(parts).allMatch(part -> part.refCnt() == 0);
      assertThat(gathered.size()).isZero();
      assertThat(gathered.count()).isZero();
    }
  }

  /** Guards against copying the one part of a small read. */
  @Test
  void returnsASinglePartAsItIs() {
    ByteBuf part = Unpooled.copiedBuffer(new byte[] {1, 2, 3});
    gathered.append(part);

    assertThat(gathered.count()).isEqualTo(1);
    assertThat(gathered.takeAll()).isSameAs(part);
    part.release();
  }
}
