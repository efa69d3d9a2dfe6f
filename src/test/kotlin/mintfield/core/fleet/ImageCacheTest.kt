package mintfield.core.fleet

import mintfield.Fixtures
import mintfield.core.Cluster
import mintfield.core.jobs.Job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Estimates of the time until an image is on a machine. */
class ImageCacheTest {
    @Test
    fun `fetches of one machine share its bandwidth`() {
        val m = Machine("m-1", Fixtures.box, "north", false)
        val job = Job(Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 3, image = "img-1"), 1))
        val c = Cluster(Fixtures.settings, 1) {}
        val a = c.occupy(job, 0, 65_536, m, 1)
        assertEquals(10.0, m.images.fetchS("img-1", 1.0), 1e-9, "1 GB at 0.1 GB/s")
        assertEquals(20.0, m.images.fetchS("img-2", 1.0), 1e-9, "two fetches share the bandwidth")
        c.release(a, 0, "released")
        assertEquals(10.0, m.images.fetchS("img-2", 1.0), 1e-9, "a fetch that no task needs is cancelled")
        m.images.markPresent("img-2", 1.0)
        assertEquals(0.0, m.images.fetchS("img-2", 1.0), 1e-9)
    }
}
